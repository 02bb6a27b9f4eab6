"""Decides whether a flow counts as broken for its caller."""

import collections.abc
import math
import typing

from standins import request_record


class VerdictRules(typing.NamedTuple):
    """What a flow tolerates without counting as broken.

    Attributes:
      drain_start_ms: Time from which flows may move away, by drained target.
      longest_gap_ms: Longest time between notifications that a feed tolerates.
      end_ms: End of the run.
    """
    drain_start_ms: collections.abc.Mapping[str, int]
    longest_gap_ms: int
    end_ms: int


def broken_reason(records: list[request_record.RequestRecord],
                  feeds: list[request_record.FeedRecord],
                  rules: VerdictRules) -> str:
    """Returns why a flow is broken, or the empty string.

    A flow without an answered request was never established and is not broken.
    An established one is broken when a request on it got no right answer, when
    a feed ended or fell silent, or when it moved away from a target that was
    not draining.
    """
    ending = request_record.Ending
    answered = [r for r in records if r.ending is ending.ANSWERED]
    if not answered:
        return ''
    first_ms = min(r.ended_ms for r in answered)
    for record in records:
        if record.ending not in (ending.ANSWERED, ending.REFUSED) and \
                record.sent_ms >= first_ms:
            return (f'{record.call.kind.value} {record.call.nonce} '
                    f'{record.ending.value}: {record.detail}')
    for feed in feeds:
        found = _feed_reason(feed, rules)
        if found:
            return found
    return _move_reason(answered, rules)


def _feed_reason(feed: request_record.FeedRecord, rules: VerdictRules) -> str:
    if feed.cancelled:
        silence_ms = feed.longest_gap_ms
    else:
        silence_ms = max(feed.longest_gap_ms, rules.end_ms - feed.last_seen_ms)
    if feed.ended:
        return f'feed {feed.call.nonce} ended: {feed.ended}'
    if silence_ms > rules.longest_gap_ms:
        return f'feed {feed.call.nonce} silent for {silence_ms} ms'
    return ''


def _move_reason(answered: list[request_record.RequestRecord],
                 rules: VerdictRules) -> str:
    # A POST may be answered by the target that ran another copy of its key.
    gets = [
        r for r in answered
        if r.target and r.call.kind is not request_record.Kind.POST
    ]
    gets.sort(key=lambda r: r.ended_ms)
    for before, after in zip(gets, gets[1:]):
        if before.target != after.target and \
                after.ended_ms < rules.drain_start_ms.get(
                    before.target, math.inf):
            return f'moved from {before.target} to {after.target}'
    return ''
