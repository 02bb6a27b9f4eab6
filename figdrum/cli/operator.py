"""Base of the commands that read or write the platform's object API."""

import abc
import collections.abc
import datetime
import typing

from cleo.io.inputs import option as cleo_option
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from figdrum.cli import base
from figdrum.cli import remedies
from figdrum.contracts import change_log
from figdrum.core import clock
from figdrum.object_api import http_store
from figdrum.object_api import store as store_lib
from figdrum.settings import loader
from figdrum.settings import schema

OPERATOR_OPTION = cleo_option.Option(
    'operator',
    flag=False,
    description='Name of the operator; by default the name in [process].')


class Session(typing.NamedTuple):
    """Objects that a command works with.

    Attributes:
      operator: Name of the operator who runs the command.
      store: Client of the platform's object API.
      log: Change log in that store.
      reactor: Twisted's reactor.
    """
    operator: str
    store: store_lib.Store
    log: change_log.ChangeLog
    reactor: typing.Any = None


def open_store(reactor: typing.Any, cfg: schema.Settings) -> store_lib.Store:
    """Returns a client of the platform in the settings `cfg`."""
    return http_store.HttpStore(reactor, cfg.platform.url, cfg.process.name,
                                cfg.platform.timeout_ms)


def run_reactor(
        work: collections.abc.Callable[[typing.Any],
                                       defer.Deferred]) -> typing.Any:
    """Runs the reactor until the Deferred of `work(reactor)` fires.

    Returns:
      The result of the Deferred; if it failed, its error is raised.

    Raises:
      SystemExit: if a signal stopped the reactor before the Deferred fired.
    """
    outcome: list[typing.Any] = []

    def start(reactor):
        fired = defer.maybeDeferred(work, reactor)
        # addBoth() handles a failure here; react() would print a traceback.
        fired.addBoth(outcome.append)
        return fired

    try:
        task.react(start)
    except SystemExit:
        if not outcome:
            raise
    if isinstance(outcome[0], failure.Failure):
        outcome[0].raiseException()
    return outcome[0]


class OperatorCommand(base.Command):
    """A command that reads or writes the platform."""
    options = [base.CONFIG_OPTION, OPERATOR_OPTION]

    def run_command(self) -> remedies.ExitCode:
        cfg = loader.load(self.config_path(),
                          name=self.option('operator') or '')
        work = self.make_work()

        @defer.inlineCallbacks
        def start(reactor):
            store = open_store(reactor, cfg)
            session = Session(cfg.process.name, store,
                              change_log.ChangeLog(store, clock.SystemClock()),
                              reactor)
            return (yield work(session))

        return run_reactor(start) or remedies.ExitCode.OK

    @abc.abstractmethod
    def make_work(self) -> collections.abc.Callable[[Session], typing.Any]:
        """Checks arguments and reads files, before the reactor is started.

        Returns:
          A function that performs the command with a `Session`. It returns a
          Deferred of an exit code, or of None for success.
        """


def format_time(time_ms: int) -> str:
    """Returns a time in ms since the Unix epoch as text in UTC.

    Examples
    ========

    >>> format_time(1_700_000_000_000)
    '2023-11-14T22:13:20Z'
    """
    at = datetime.datetime.fromtimestamp(time_ms // clock.MS_PER_S,
                                         datetime.UTC)
    return at.strftime('%Y-%m-%dT%H:%M:%SZ')
