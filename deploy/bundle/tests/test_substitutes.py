"""Errors of substitutes, in an interpreter that has loaded nothing else."""

import os
import pathlib
import subprocess

import built_program
import pytest

FOLDER = pathlib.Path(__file__).parent
HEARTBEAT = '{"service": "a b", "slots": [2, -1.5e3], "seq": null}'

CALLS = {
    'json': [
        *(f'm.loads({HEARTBEAT[:end]!r})' for end in range(len(HEARTBEAT))),
        *(f'm.loads({HEARTBEAT[:at] + char + HEARTBEAT[at + 1:]!r})'
          for at in range(len(HEARTBEAT))
          for char in '\x01]'),
        *(f'm.loads({text!r})'
          for text in (b'\xff', b'"\xff"', b'\xff\xfe1\0', '\ufeff1', '"\\q"',
                       '"\\ud8"', None, 5, bytearray(b'[1'))),
        'm.loads("[" * 200_000)',
        'm.loads("9" * 5_000)',
        'm.loads(memoryview(b"1"))',
        'm.loads("1", unknown=1)',
        'm.dumps(object())',
        'm.dumps({(1,): 2})',
        'm.dumps([float("nan")])',
        'm.dumps((lambda items: items.append(items) or items)([]))',
        'm.JSONEncoder(unknown=1)',
    ],
    'random': [
        'm.Random(1).randint(3, 2)',
        'm.Random(1).randint(5, 5)',
        'm.Random(1).choice([])',
        'm.Random(1).sample(range(2), 3)',
    ],
    'bisect': [
        'm.bisect([1], 1)',
        'm.insort([1], 1)',
        'm.bisect_left([1], "a")',
        'm.bisect_left([1], 1, -1)',
    ],
    'functools': [
        'm.lru_cache(maxsize=2)(len)(5)',
        'm.lru_cache(maxsize=2)(len)([])',
        'm.lru_cache()(len)("a")',
        'm.lru_cache(len)("a")',
        'm.lru_cache(maxsize=2, typed=True)(len).cache_parameters()',
        'm.reduce(max, [])',
        'm.partial(5)',
    ],
    'statistics': ['m.median([])', 'm.median(5)', 'm.median([1, "a"])'],
    'heapq': ['m.heappop([])', 'm.heappush(5, 1)', 'm.nsmallest(1, [2, 1])'],
    'collections': [
        'm.Counter(5)', 'm.Counter({}, {})', 'm.Counter("a") - 5',
        'm.Counter("a") < 5', 'hash(m.Counter())', 'm.Counter().popitem()',
        'm.OrderedDict().popitem()', 'm.deque(maxlen=-1)', 'm.defaultdict(5)'
    ],
    'os': [
        'm.environ["NO SUCH NAME"]', 'm.stat("/no/such/file")', 'm.read(999, 1)'
    ],
    'signal': [
        'm.signal(99, m.SIG_DFL)', 'm.signal(m.SIGKILL, m.SIG_IGN)',
        'm.signal(m.SIGTERM, "x")'
    ],
    'socket': [
        'm.inet_pton(m.AF_INET, "x")', 'm.inet_pton(m.AF_INET, "1\\0")',
        'm.inet_ntop(m.AF_INET, b"1")', 'm.socket(fileno=999)',
        'm.socket().bind(("127.0.0.1", 70_000))',
        'm.socket().bind(("\\xe9" * 70, 1))', 'm.socket().accept()',
        'm.socket().sendto(b"", 5)', 'm.socket().settimeout(-1)',
        'm.getaddrinfo("x", 1, flags=m.AI_NUMERICHOST)'
    ],
    'datetime': [
        'm.datetime.strptime("x", "%Y")', 'm.datetime.fromtimestamp(1e20)',
        'm.datetime(1, 1, 0)'
    ],
}


def _outcomes(module: str, calls: list[str]) -> list[str]:
    result = subprocess.run(
        [
            *built_program.INTERPRETER,
            str(FOLDER / 'call_outcomes.py'),
            module,
        ],
        input='\n'.join(calls),
        env={
            **os.environ, 'PYTHONPATH':
                os.pathsep.join(
                    (str(FOLDER.parent), str(built_program.libraries())))
        },
        stdout=subprocess.PIPE,
        encoding='ascii',
        check=True)
    return result.stdout.splitlines()


# An error of another type passed the handlers of callers and ended the process.
@pytest.mark.parametrize('module', CALLS)
def test_calls_return_and_raise_what_those_of_the_standard_module_do(module):
    calls = CALLS[module]
    standard = _outcomes(module, calls)
    substitute = _outcomes(f'substitutes.light_{module}', calls)
    assert len(standard) == len(calls)
    assert list(zip(calls, substitute)) == list(zip(calls, standard))
