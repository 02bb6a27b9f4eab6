"""Simulated metadata store of the platform, with faults.

It implements the paths and bodies of the platform's specification independently
of figdrum's adapter, so that an error in the adapter is not repeated here.
"""

import json
import random
import typing
import urllib.parse

from twisted.web import http
from twisted.web import resource
from twisted.web import server

ANSWER_DELAY_S = 0.004


class Faults(typing.NamedTuple):
    """Faults of the store.

    Attributes:
      failure_mode: '' for none, 'busy' to answer with 503, 'reset' to reset
        the connection, 'silent' to not answer.
      delay_s: Time until it answers.
      lost_answer_share: Share of the writes that are done but whose connection
        is reset in place of an answer.
    """
    failure_mode: str = ''
    delay_s: float = ANSWER_DELAY_S
    lost_answer_share: float = 0.0


class Raw(typing.NamedTuple):
    """A spec that is sent as it is.

    Attributes:
      text: Its text, which need not be JSON.
    """
    text: bytes


# Period and number of the copies that the store makes of itself.
COPY_PERIOD_S = 0.5
MAX_COPIES = 20


class _Copy(typing.NamedTuple):
    """The store's state at one moment.

    Attributes:
      made_s: When it was made, in seconds of the reactor.
      objects: Objects by kind and name.
      history: Changes, as `Store` keeps them.
      oldest_revision: Revision after which the history is complete.
      revision: Revision of the last change.
    """
    made_s: float
    objects: dict[tuple[str, str], dict[str, typing.Any]]
    history: list[tuple[int, str, dict[str, typing.Any], bool]]
    oldest_revision: int
    revision: int


class Store(resource.Resource):
    """Stores objects by kind and name, with revisions and watches.

    Attributes:
      era: Number that rises by one each time that a copy is loaded; answers
        name it unless it is 0.
      revision: Revision of the last change.
      faults: Faults of the calls that arrive from now on.
      calls: Number of calls so far.
    """
    isLeaf = True

    def __init__(self, reactor: typing.Any, rng: random.Random):
        super().__init__()
        self._reactor = reactor
        self._rng = rng
        self._objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._history: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self._watches: list[tuple[str, int, server.Request]] = []
        self._oldest_revision = 0
        # What the operator has written last, by kind and name; None if removed.
        self._operator_specs: dict[tuple[str, str], typing.Any] = {}
        self._copies: list[_Copy] = []
        self.era = 1
        self.revision = 1
        self.faults = Faults()
        self.calls = 0

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Stores an object, as the operator does."""
        self._operator_specs[kind, name] = spec
        self._change(kind, name, spec, False)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object, as the operator does."""
        self._operator_specs[kind, name] = None
        if (kind, name) in self._objects:
            self._change(kind, name, None, True)

    def names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        return [name for item_kind, name in self._objects if item_kind == kind]

    def make_copies(self) -> None:
        """Copies the state from now on, each `COPY_PERIOD_S`."""
        self._copies.append(
            _Copy(self._reactor.seconds(), dict(self._objects),
                  list(self._history), self._oldest_revision, self.revision))
        del self._copies[:-MAX_COPIES]
        self._reactor.callLater(COPY_PERIOD_S, self.make_copies)

    def load_copy(self, age_s: float) -> None:
        """Loads the newest copy of at least an age, or the oldest one.

        What nodes have written since is lost; the operator writes again.
        """
        made_s = self._reactor.seconds() - age_s
        older = [copy for copy in self._copies if copy.made_s <= made_s]
        copy = older[-1] if older else self._copies[0]
        self.era += 1
        self._objects = dict(copy.objects)
        self._history = list(copy.history)
        self._oldest_revision = copy.oldest_revision
        self.revision = copy.revision
        self._copies = [copy]
        self.reset_watches()
        for (kind, name), spec in self._operator_specs.items():
            item = self._objects.get((kind, name))
            if item is not None if spec is None else (item is None or
                                                      item['spec'] != spec):
                self._change(kind, name, spec, spec is None)

    def compact(self) -> None:
        """Discards the history and resets the watches.

        A watch from an older revision is answered with 410 from then on.
        """
        self._oldest_revision = self.revision
        self._history.clear()
        self.reset_watches()

    def reset_watches(self) -> None:
        """Resets the connections of all waiting watches."""
        watches, self._watches = self._watches, []
        for _, _, req in watches:
            _reset(req)

    def render(self, request: server.Request) -> typing.Any:
        """Answers a call, or fails it according to the current faults."""
        self.calls += 1
        faults = self.faults
        request.notifyFinish().addErrback(lambda _: self._remove_watch(request))
        if faults.failure_mode:
            if faults.failure_mode == 'busy':
                request.setResponseCode(http.SERVICE_UNAVAILABLE)
                self._set_era(request)
                return b''
            if faults.failure_mode == 'reset':
                _reset(request)
        else:
            self._reactor.callLater(faults.delay_s, self._answer, request)
        return server.NOT_DONE_YET

    def _answer(self, req: server.Request) -> None:
        if req.channel is None:
            return
        parts = req.path.decode().split('/')[3:]
        method = req.method.decode()
        if method == 'GET':
            if b'watch' in req.args:
                self._watch(parts[0], int(req.args[b'watch'][0]), req)
                self._reactor.callLater(
                    int(req.args[b'waitMs'][0]) / 1_000, self._end_watch, req)
            elif len(parts) == 1:
                items = [
                    item for (kind, _), item in self._objects.items()
                    if kind == parts[0]
                ]
                self._send(
                    req, 200, {
                        'items': items,
                        'hasMore': False,
                        'storeRevision': self.revision
                    })
            else:
                item = self._objects.get(
                    (parts[0], urllib.parse.unquote(parts[1])))
                self._send(req, 200 if item else 404, item or {})
            return
        is_lost = self._rng.random() < self.faults.lost_answer_share
        status, item = self._write(method, parts, req)
        if is_lost:
            _reset(req)
        else:
            self._send(req, status, item)

    def _write(self, method: str, parts: list[str],
               req: server.Request) -> tuple[int, typing.Any]:
        kind = parts[0]
        if method == 'DELETE':
            item = self._objects.get((kind, urllib.parse.unquote(parts[1])))
            if item is None:
                return 404, {}
            if item['meta']['revision'] != int(req.args[b'revision'][0]):
                return 409, item
            self._change(kind, urllib.parse.unquote(parts[1]), None, True)
            return 200, item
        body = json.loads(req.content.read())
        name = urllib.parse.unquote(
            parts[1]) if method == 'PUT' else body['meta']['name']
        item = self._objects.get((kind, name))
        if method == 'POST':
            if item is not None:
                return 409, item
        elif item is None:
            return 404, {}
        elif body['meta'].get('revision') != item['meta']['revision']:
            return 409, item
        if item is None or item['spec'] != body['spec']:
            self._change(kind, name, body['spec'], False)
        return 200, self._objects[kind, name]

    def _change(self, kind: str, name: str, spec: typing.Any,
                removed: bool) -> None:
        self.revision += 1
        if removed:
            item = self._objects.pop((kind, name))
        else:
            item = {
                'meta': {
                    'name': name,
                    'revision': self.revision
                },
                'spec': spec
            }
            self._objects[kind, name] = item
        self._history.append((self.revision, kind, item, removed))
        watches, self._watches = self._watches, []
        for item_kind, since, req in watches:
            self._watch(item_kind, since, req)

    def _watch(self, kind: str, since: int, req: server.Request) -> None:
        if not self._oldest_revision <= since <= self.revision:
            self._send(req, 410, {})
            return
        events = [{
            'object': item,
            'removed': removed
        }
                  for revision, item_kind, item, removed in self._history
                  if item_kind == kind and revision > since]
        if events:
            self._send(req, 200, {
                'events': events,
                'storeRevision': self.revision
            })
        else:
            self._watches.append((kind, since, req))

    def _end_watch(self, req: server.Request) -> None:
        """Answers a watch without changes when its time has passed."""
        if any(watch[2] is req for watch in self._watches):
            self._remove_watch(req)
            self._send(req, 200, {'events': [], 'storeRevision': self.revision})

    def _remove_watch(self, req: server.Request) -> None:
        self._watches = [w for w in self._watches if w[2] is not req]

    def _set_era(self, req: server.Request) -> None:
        if self.era:
            req.setHeader(b'Store-Era', str(self.era).encode())

    def _send(self, req: server.Request, status: int, body: typing.Any) -> None:
        if req.channel is None:
            return
        req.setResponseCode(status)
        self._set_era(req)
        req.setHeader(b'Content-Type', b'application/json')
        req.write(_encode(body))
        req.finish()


def _encode(body: typing.Any) -> bytes:
    """Returns the JSON text of a body, with raw specs as they are."""
    texts: list[bytes] = []

    def mark(item: typing.Any) -> typing.Any:
        if isinstance(item, Raw):
            texts.append(item.text)
            return f'@raw {len(texts) - 1}@'
        if isinstance(item, dict):
            return {key: mark(value) for key, value in item.items()}
        if isinstance(item, list):
            return [mark(value) for value in item]
        return item

    data = json.dumps(mark(body)).encode()
    for number, text in enumerate(texts):
        data = data.replace(f'"@raw {number}@"'.encode(), text)
    return data


def _reset(req: server.Request) -> None:
    if req.channel is not None:
        req.channel.transport.abortConnection()


def listen(reactor: typing.Any, store: Store, host: str) -> int:
    """Serves the store on a free port that the kernel selects; returns it."""
    return reactor.listenTCP(0, server.Site(store),
                             interface=host).getHost().port
