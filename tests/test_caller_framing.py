"""Framing of answers to callers: a partial answer never looks complete, whatever the caller's protocol version."""

import gevent
import pytest

from tests.gateway_site import Site, make_events, make_request, tokens

LAST = 12


@pytest.fixture
def site():
    one = Site()
    yield one
    one.close()


def ask(site, path, version="1.0", **headers):
    """Return all bytes of the answer to a request, and whether the connection was closed in good order."""
    request = make_request(path, "id-1", **tokens(LAST), **headers)
    data = b""
    with site.connect() as connection:
        connection.sendall(request.replace(b"HTTP/1.1", f"HTTP/{version}".encode(), 1))
        try:
            while piece := connection.recv(65_536):
                data += piece
        except ConnectionResetError:
            return data, False
    return data, True


# Guards against callers of HTTP/1.0, which cannot read chunks, getting a chunked answer.
def test_caller_of_http_1_0_gets_a_stream_that_ends_with_the_connection(site):
    site.add_runner("llm")
    data, is_orderly = ask(site, "/draft/x")
    head, _, body = data.partition(b"\r\n\r\n")
    assert b"transfer-encoding" not in head.lower()
    assert body == make_events("id-1", LAST)
    assert is_orderly


# Guards against a partial answer looking complete to a caller that knows its end by the connection only.
@pytest.mark.parametrize("path", ["/draft/x", "/reply/x"])
def test_broken_stream_to_a_caller_of_http_1_0_ends_with_a_reset(site, path):
    site.add_runner("llm").fail(cut_after_events=3)
    data, is_orderly = ask(site, path)
    assert len(data.partition(b"\r\n\r\n")[2]) < len(make_events("id-1", LAST))
    assert not is_orderly


def test_broken_stream_with_a_close_announced_has_no_last_chunk(site):
    site.add_runner("llm").fail(cut_after_events=3)
    data, _ = ask(site, "/draft/x", version="1.1", Connection="close")
    assert b"transfer-encoding: chunked" in data.lower()
    assert not data.endswith(b"0\r\n\r\n")


def test_reply_of_a_killed_session_to_a_caller_of_http_1_0_ends_with_a_reset(site):
    site.add_runner("llm", event_ms=50)
    request = make_request("/draft/x", "id-1", **tokens(LAST)).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    with site.connect() as connection:
        connection.sendall(request)
        assert connection.recv(100)
        (session,) = site.gateways[0].callers.sessions
        gevent.kill(session._task)
        with pytest.raises(ConnectionResetError):
            while connection.recv(65_536):
                pass


# Guards against bytes of a body after the answer to a HEAD request, which the next answer would begin with.
@pytest.mark.parametrize("path", ["/draft/x", "/reply/x"])
def test_answer_of_a_stream_route_to_head_has_no_body(site, path):
    site.add_runner("llm")
    site.add_runner("app")
    with site.connect() as connection:
        connection.sendall(make_request(path, "id-1", method="HEAD", body=b"", **tokens(LAST)))
        connection.sendall(make_request("/check/x", "id-2"))
        data = b""
        while not data.endswith(b"answer of id-2"):
            piece = connection.recv(65_536)
            assert piece, data
            data += piece
    first, _, rest = data.partition(b"\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200")
    assert rest.startswith(b"HTTP/1.1 200"), rest


def test_complete_answer_to_a_caller_of_http_1_0_has_a_length(site):
    site.add_runner("app")
    with site.connect() as connection:
        connection.sendall(make_request("/check/x", "id-1").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        data = b""
        while piece := connection.recv(65_536):
            data += piece
    assert b"content-length: 14" in data.lower()
    assert data.endswith(b"answer of id-1")
