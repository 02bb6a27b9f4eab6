"""Tests that the documentation matches the program."""

import pathlib
import re
import shlex

from cleo.io.outputs import buffered_output
import pytest

import figdrum
from figdrum.cli import app
from figdrum.cli import base
from figdrum.cli import error_page
from figdrum.cli import remedies
from figdrum.settings import reference

ROOT = pathlib.Path(figdrum.__file__).parent.parent
PAGES = sorted((ROOT / 'docs').rglob('*.md')) + [ROOT / 'README.md']
OPERATORS = ROOT / 'docs' / 'operators'


def commands_of(text: str) -> list[str]:
    """Returns the figdrum commands in code blocks and inline code of a page.

    Inline code that consists only of the name of a command, such as
    `figdrum replay`, is a mention and not returned.
    """
    blocks = '\n'.join(re.findall(r'^ *```\n(.*?)^ *```', text, re.M | re.S))
    inline = re.findall(r'`figdrum ([^`\n]+)`', text)
    return (re.findall(r'^ *figdrum (.+)$', blocks, re.M) +
            [command for command in inline if command not in app.COMMANDS])


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_every_command_shown_parses(page, monkeypatch):
    """Guards against documented commands or options that do not exist."""
    monkeypatch.setattr(base.Command, 'handle', lambda self: 0)
    for command in commands_of(page.read_text('utf-8')):
        errors = buffered_output.BufferedOutput()
        code = app.main(shlex.split(command), buffered_output.BufferedOutput(),
                        errors)
        assert code == 0, (command, errors.fetch())


def test_commands_are_found_in_pages():
    """Guards against a search that finds no commands and checks nothing."""
    shown = ' '.join(command for page in PAGES
                     for command in commands_of(page.read_text('utf-8')))
    for name in app.COMMANDS:
        assert name in shown, name


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_and_samples_exist(page):
    """Guards against references to files and make targets that do not exist."""
    text = page.read_text('utf-8')
    for target in re.findall(r'\]\(([^)#]+)\)', text):
        assert target.startswith('https://') or (page.parent / target).exists()
    for sample in re.findall(r'samples/[\w./-]+', text):
        assert (ROOT / sample.rstrip('.')).exists(), sample
    targets = re.findall(r'^(\w+):', (ROOT / 'Makefile').read_text('utf-8'),
                         re.M)
    for target in re.findall(r'`make (\w+)`', text):
        assert target in targets, target


def test_settings_page_is_that_of_the_schema():
    """Guards against a reference that was not regenerated."""
    page = (ROOT / 'docs' / 'settings.md').read_text('utf-8')
    assert page == reference.render()


def test_error_page_lists_every_code():
    """Guards against an error page that was not regenerated."""
    page = (OPERATORS / 'errors.md').read_text('utf-8')
    assert page == error_page.render()
    codes = [cls.code for cls in remedies.REMEDIES]
    assert len(set(codes)) == len(codes)
    assert all(f'### {code} ' in page for code in codes)


def test_operators_index_lists_every_page():
    """Guards against a page without a link in the index."""
    index = (OPERATORS / 'README.md').read_text('utf-8')
    for page in OPERATORS.glob('*.md'):
        assert page.name == 'README.md' or f'({page.name})' in index
