"""Fixtures of the tests of the built program."""

import pathlib

import built_program
import pytest


@pytest.fixture(name='app', scope='session')
def _app(tmp_path_factory) -> pathlib.Path:
    """The folder `target/app` of a build."""
    return built_program.build(tmp_path_factory.mktemp('build'))
