"""Client of the platform's object API over HTTP with JSON.

Explanation
===========

A failed read is retried with exponential backoff and jitter. A watch with a
timeout is not retried, because its caller starts the next one itself and must
notice the outage. A write is sent only once: after a failure its outcome is
unknown, and the caller has to read the object back. The header `X-Client` holds
the name of the process, so that the platform can count calls per client.

Each request opens a connection of its own. On a persistent connection, a late
second copy of a response would be taken for the response to the next request,
and a refused write for a stored one.

References
==========

RFC 9110, HTTP Semantics, section 9.2.2: a client may retry a request
automatically only if its method is idempotent and repeating it is harmless.

RFC 9112, HTTP/1.1, section 9.2: a response is associated with its request only
by their order on the connection.
"""

import json
import random
import typing
import urllib.parse

from twisted.internet import defer
from twisted.web import client
from twisted.web import http_headers

from figdrum.core import clock
from figdrum.core import errors
from figdrum.object_api import http_body
from figdrum.object_api import store

READ_ATTEMPTS = 3
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_LARGE = 413


class HttpStore(store.Store):
    """The platform's object API over HTTP.

    Attributes:
      timeout_ms: Time limit of a call in ms; the timeout of a watch is added to
        it.
    """

    def __init__(self,
                 reactor: typing.Any,
                 url: str,
                 client_name: str,
                 timeout_ms: int,
                 rng: random.Random | None = None):
        """Creates a client; it connects for each call.

        Args:
          reactor: Twisted's reactor.
          url: Base URL of the object API.
          client_name: Value of the header `X-Client`.
          timeout_ms: See the attribute.
          rng: Source of the jitter between attempts.
        """
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._headers = http_headers.Headers({
            b'X-Client': [client_name.encode()],
            b'Content-Type': [b'application/json'],
        })
        self._agent = client.Agent(reactor,
                                   connectTimeout=timeout_ms / clock.MS_PER_S)
        self._rng = rng or random.Random()
        self.timeout_ms = timeout_ms

    def get(self, key):
        return self._read_with_retries(
            'get', self._object_path(key), 0, lambda status, doc: None
            if status == HTTP_NOT_FOUND else _parse_item(doc))

    def list(self, prefix):
        return self._read_with_retries('list',
                                       '/objects?' + _query(prefix=prefix), 0,
                                       _parse_listing)

    @defer.inlineCallbacks
    def put(self, key, value, if_version):
        path = f'{self._object_path(key)}?{_query(if_version=if_version)}'
        body = json.dumps({'value': value}).encode()
        status, doc = yield self._request('put', b'PUT', path, body, 0)
        if status == HTTP_CONFLICT:
            raise errors.ConflictError('put', self._url,
                                       f'{key} is not at version {if_version}')
        if status == HTTP_TOO_LARGE:
            raise errors.ValueTooLargeError(
                'put', self._url, f'{key} has {len(value.encode())} bytes')
        return self._parse('put', status, doc, lambda _, doc: _parse_item(doc))

    def watch(self, prefix, since_revision, timeout_ms):
        query = _query(prefix=prefix,
                       since=since_revision,
                       timeout_ms=timeout_ms)
        return self._read_with_retries('watch', '/watch?' + query, timeout_ms,
                                       _parse_listing)

    def _object_path(self, key: str) -> str:
        return '/objects/' + urllib.parse.quote(key, safe='/')

    @defer.inlineCallbacks
    def _read_with_retries(self, step: str, path: str, wait_ms: int, parse):
        backoff_ms = INITIAL_BACKOFF_MS
        attempts = 1 if wait_ms else READ_ATTEMPTS
        for attempt in range(1, attempts + 1):
            try:
                status, doc = yield self._request(step, b'GET', path, None,
                                                  wait_ms)
                return self._parse(step, status, doc, parse)
            except errors.StoreError:
                if attempt == attempts:
                    raise
            yield self._sleep(self._rng.uniform(backoff_ms / 2, backoff_ms))
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
        raise AssertionError('unreachable')

    def _sleep(self, backoff_ms: float) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        self._reactor.callLater(backoff_ms / clock.MS_PER_S, done.callback,
                                None)
        return done

    def _parse(self, step: str, status: int, doc, parse):
        if status != HTTP_OK and not (step == 'get' and
                                      status == HTTP_NOT_FOUND):
            raise errors.StoreError(step, self._url, f'HTTP status {status}')
        try:
            return parse(status, doc)
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.StoreError(step, self._url,
                                    f'invalid response: {exc!r}') from exc

    @defer.inlineCallbacks
    def _request(self, step: str, method: bytes, path: str, body: bytes | None,
                 wait_ms: int):
        """Fires with (status, JSON value of the body).

        The value is None if the body is not JSON. Fails with
        `errors.StoreError` if no complete response arrives in time.
        """
        producer = None
        if body is not None:
            producer = http_body.BytesProducer(body)
        exchange = self._exchange(method, (self._url + path).encode(), producer)
        exchange.addTimeout((self.timeout_ms + wait_ms) / clock.MS_PER_S,
                            self._reactor)
        try:
            status, data = yield exchange
        except Exception as exc:  # pylint: disable=broad-exception-caught
            # The transport, the client and the body reader raise many exception
            # types. Each means that no complete response arrived.
            raise errors.StoreError(step, self._url, repr(exc)) from exc
        try:
            return status, json.loads(data)
        except ValueError:
            return status, None

    @defer.inlineCallbacks
    def _exchange(self, method: bytes, uri: bytes, producer):
        response = yield self._agent.request(method, uri, self._headers,
                                             producer)
        data = yield http_body.read(response)
        return response.code, data


def _query(**fields) -> str:
    return urllib.parse.urlencode(fields)


def _parse_item(doc) -> store.Item:
    item = store.Item(doc['key'], doc['value'], doc['version'], doc['revision'])
    if not (isinstance(item.value, str) and isinstance(item.version, int) and
            isinstance(item.revision, int)):
        raise TypeError('a field of an item has the wrong type')
    return item


def _parse_listing(_status: int, doc):
    revision = doc['revision']
    if not isinstance(revision, int):
        raise TypeError('the revision is not an integer')
    return tuple(_parse_item(row) for row in doc['items']), revision
