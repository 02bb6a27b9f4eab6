"""The soak's unreadable inputs cannot be decoded, whatever a seed draws."""

import json
import random
import types

import pytest

from standins.soak import store
from standins.soak import unreadable_inputs


# One that could be decoded would be accepted, and the soak would fail.
def test_each_drawn_heartbeat_is_no_json():
    inputs = unreadable_inputs.UnreadableInputs(types.SimpleNamespace(), 1)
    inputs._rng = random.Random(1)  # pylint: disable=protected-access
    for _ in range(2_000):
        with pytest.raises(ValueError):
            json.loads(inputs._draw_heartbeat())  # pylint: disable=protected-access


# An escaped text would be a string, which is readable.
@pytest.mark.parametrize('text', unreadable_inputs.ENTRIES)
def test_answer_of_the_store_has_an_entry_as_it_is(text):
    item = {'meta': {'name': 'odd', 'revision': 3}, 'spec': store.Raw(text)}
    data = store._encode({'items': [item]})  # pylint: disable=protected-access
    assert b'"spec": ' + text + b'}]}' in data
    with pytest.raises(ValueError):
        json.loads(data)
