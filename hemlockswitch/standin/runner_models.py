"""Settings of the stand-in of a backend server, and what its harness sets while it runs."""

from pydantic import BaseModel, ConfigDict


class RunnerSettings(BaseModel):
    """Settings file of the stand-in.

    Parameters
    ==========

    name : instance identifier of the backend server.
    work_ms : duration of a plain call, and time to the first event of a stream.
    event_ms : time between two events of a stream.
    prints_runs : print a line for each arrival and each run, which remains readable after the process ends.
    version : software version, written into each event of a stream; empty to leave it out.
    ends_on : terminate the process on a request whose body contains this text, after `work_ms`;
        empty disables it.
    ends_on_part : the same for requests whose prompt has this part, other than as its last one.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    listen: str = "127.0.0.1:0"
    work_ms: float = 5
    event_ms: float = 5
    prints_runs: bool = False
    version: str = ""
    ends_on: str = ""
    ends_on_part: str = ""


class RunnerFaults(BaseModel):
    """Faults to inject into requests.

    Parameters
    ==========

    count : number of requests that are affected; 0 means all.
    decline : answer 503 and state that the request was not run.
    retry_after : the ``Retry-After`` of declined requests, as text; empty for none.
    fail : run the request and answer 500.
    lose_answer : run the request and reset the connection.
    foreign_answer : answer with the identifier of another request.
    without_seal : answer without the seal of a genuine answer.
    cut_after_events : reset a stream's connection within the event that follows this number.
    unframed : answer a stream with neither a length nor chunks; it ends, also if it is cut, by a close of the
        connection in good order.
    endless : answer with bytes without end, until the connection is closed: a stream in its head, a call in its body.
    slow_factor : multiplier of the duration.
    every : only every nth request is affected.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    count: int = 0
    decline: bool = False
    retry_after: str = ""
    fail: bool = False
    lose_answer: bool = False
    foreign_answer: bool = False
    without_seal: bool = False
    cut_after_events: int | None = None
    unframed: bool = False
    endless: bool = False
    slow_factor: float = 1.0
    every: int = 1


class RunnerLimit(BaseModel):
    """The rate limit to state in all answers, as text; empty for none."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    limit: str


class RunnerRoom(BaseModel):
    """The room for requests; a request that finds none is declined.

    Parameters
    ==========

    slots : number of requests that run concurrently; 0 means any number.
    waiting : number of requests that may wait for a slot.
    max_rejections : to state in all answers, as text: the runner falls over when it declines more requests
        than this in one second for want of room; empty for a runner that never does.
    pace_percent : to state in all answers with the load; 0 to state no load.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    slots: int = 0
    waiting: int = 0
    max_rejections: str = ""
    pace_percent: int = 0
