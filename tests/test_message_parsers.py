"""Parsing of HTTP requests and answers: rejected requests, and answers of faulty servers."""

import pytest

from hemlockswitch.connection.heads import select_end_to_end
from hemlockswitch.connection.message_parsers import AnswerParser, RequestParser
from hemlockswitch.core.errors import ErrorKind, RequestError

HEAD = b"POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\n"


def make_parser(head_bytes=1_000, body_bytes=100):
    return RequestParser(lambda: (head_bytes, body_bytes), lambda: 7.0)


def test_request_received_byte_by_byte_is_complete():
    data = HEAD + b"X-A: 1\r\nContent-Length: 5\r\n\r\nhello"
    parser = make_parser()
    for number in range(len(data)):
        parser.feed(data[number : number + 1])
    (request,) = parser.complete
    assert (request.method, request.target, request.body) == ("POST", "/a/b?c=1", b"hello")
    assert request.path == "/a/b"
    assert request.get("x-a") == "1"
    assert request.received_ms == 7.0
    assert request.keep_alive


def test_chunks_are_joined_and_trailers_are_dropped():
    parser = make_parser()
    parser.feed(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n"
    )
    (request,) = parser.complete
    assert request.body == b"abcde"
    assert request.get("x-t") == ""


def test_two_requests_received_together_are_both_parsed():
    parser = make_parser()
    parser.feed(HEAD + b"\r\n" + HEAD + b"\r\n")
    assert len(parser.complete) == 2


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 3\r\nContent-Length: 3\r\n",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length : 3\r\n",
        b"Content-Length: +3\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"X-A: 1\r\n folded\r\n",
        b"X-A: 1\n\n",
        b"Upgrade: other\r\nConnection: upgrade\r\n",
    ],
)
def test_ambiguous_framing_is_refused(fields):
    with pytest.raises(RequestError) as caught:
        make_parser().feed(HEAD + fields + b"\r\nabc")
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_head_over_the_limit_is_refused():
    with pytest.raises(RequestError) as caught:
        make_parser(head_bytes=100).feed(HEAD + b"X-A: " + b"a" * 200 + b"\r\n\r\n")
    assert caught.value.kind is ErrorKind.HEAD_TOO_LARGE


@pytest.mark.parametrize("framing", [b"Content-Length: 101\r\n\r\n", None])
def test_body_over_the_limit_is_refused(framing):
    chunked = b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"a" * 101 + b"\r\n"
    with pytest.raises(RequestError) as caught:
        make_parser().feed(HEAD + (framing or chunked))
    assert caught.value.kind is ErrorKind.BODY_TOO_LARGE


def feed_answer(data, method="GET"):
    parser = AnswerParser(method)
    parser.feed(data)
    return parser


def test_interim_answer_is_ignored():
    parser = feed_answer(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
    (answer,) = parser.answers
    assert (answer.status, answer.take_body(), answer.done) == (200, b"ok", True)


def test_second_answer_is_parsed_separately():
    one = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    parser = feed_answer(one + b"a" + one + b"b")
    assert [answer.take_body() for answer in parser.answers] == [b"a", b"b"]


def test_garbage_after_a_complete_answer_only_prevents_reuse_of_the_connection():
    parser = feed_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na#garbage")
    assert parser.must_close
    assert parser.answers[0].done


def test_garbage_instead_of_an_answer_is_an_error():
    with pytest.raises(ValueError, match="not an HTTP answer"):
        feed_answer(b"#garbage")


def test_answer_without_length_is_completed_by_a_clean_close():
    parser = feed_answer(b"HTTP/1.1 200 OK\r\n\r\nabc")
    (answer,) = parser.answers
    assert answer.ends_with_connection and not answer.done
    parser.end()
    assert answer.done


def test_clean_close_does_not_complete_an_answer_with_length():
    parser = feed_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
    parser.end()
    assert not parser.answers[0].done


def test_hop_by_hop_headers_are_not_forwarded():
    headers = [("Host", "x"), ("Connection", "X-Own"), ("X-Own", "1"), ("TE", "trailers")]
    assert select_end_to_end(headers) == [("Host", "x")]
