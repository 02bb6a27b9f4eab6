"""Tests of the table of requests and their responses."""

from figdrum.idempotency import result_table


def test_long_responses_are_limited_in_bytes():
    """Guards against long responses that fill the agent's memory."""
    table = result_table.ResultTable(lifetime_ms=1_000)
    body = bytes(60_000)
    kept = 0
    while isinstance(table.begin(0, 'c', str(kept)), result_table.New):
        table.finish(0, 'c', str(kept), 68, body)
        kept += 1
    assert kept * len(body) < result_table.MAX_TOTAL_BODY_BYTES + len(body)
    assert table.find('c', '0') == result_table.Done(68, body)
    table.expire(1_000)
    assert isinstance(table.begin(1_000, 'c', 'next'), result_table.New)


def test_request_in_progress_is_never_removed():
    """Guards against a second run of a request that is still in progress."""
    table = result_table.ResultTable(lifetime_ms=1_000)
    table.begin(0, 'c', 'k')
    assert isinstance(table.begin(5_000, 'c', 'k'), result_table.Running)
