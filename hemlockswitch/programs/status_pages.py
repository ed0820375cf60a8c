"""Base of the commands that read the status pages of gateways."""

from collections.abc import Callable
from typing import Any, TypeVar

import gevent
from cleo.commands.command import Command
from cleo.helpers import argument, option
from geventhttpclient.response import HTTPParseError
from pydantic import BaseModel, ValidationError

from hemlockswitch.connection.http import NotSentError, SingleSendClient
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.programs.ctl_files import JSON_OPTION
from hemlockswitch.version.settings import describe_mistakes

TIMEOUT_MS = 2_000.0
"""A status page is answered within milliseconds; a slower gateway is reported as an error."""

Page = TypeVar("Page", bound=BaseModel)


class StatusPageError(Exception):
    """A status page could not be read; the text says why."""


def read_status_page(model: type[Page], host: str, port: int, timeout_ms: float) -> Page:
    """Return the status page of the gateway at a control address.

    Raises
    ======

    StatusPageError : the gateway did not answer, or the answer is not a status page.
    """
    timeout_s = timeout_ms / MS_PER_SECOND
    client = SingleSendClient(host, port, connection_timeout=timeout_s, network_timeout=timeout_s)
    try:
        return model.model_validate_json(client.request("GET", "/status").read())
    except (OSError, NotSentError, HTTPParseError) as error:
        raise StatusPageError(f"no answer: {error}") from error
    except ValidationError as error:
        raise StatusPageError(f"not a status page: {describe_mistakes(error)}") from error
    finally:
        client.close()


class StatusPagesCommand(Command):
    """Base of the commands that read the status pages of several gateways concurrently."""

    arguments = [argument("addresses", "Control addresses, ip:port.", multiple=True)]
    options = [
        JSON_OPTION,
        option(
            "timeout", None, "Time-out for each in ms.", flag=False, default=str(int(TIMEOUT_MS))
        ),
    ]

    def query_all(self, query: Callable[[str, int, float], Any]) -> list[Any] | None:
        """Return the result of `query` for each address, or None after reporting invalid arguments."""
        try:
            timeout_ms = float(self.option("timeout"))
            addresses = [split_address(text) for text in self.argument("addresses")]
        except ValueError:
            self.line_error("an address must be ip:port, and --timeout a number of milliseconds")
            return None
        tasks = [gevent.spawn(query, host, port, timeout_ms) for host, port in addresses]
        return [task.get() for task in tasks]
