"""Writes docs/operators/errors.md from the table of remedies.

Explanation
===========

`python -m figdrum.cli.error_page` prints the page. A test compares the two.
"""

from figdrum.cli import remedies

INTRODUCTION = '''# Error codes and exit codes

<!-- Written by `python -m figdrum.cli.error_page`; a test compares. -->

A command that fails prints the part, the code, the step that failed, the peer at which it failed, each
reason, and what to do:

```
contracts: FD401 in step "approve" at 4f1d2c3b5a69
  salma proposed it; another operator must approve it
What to do: Ask another operator to approve. See its state with `figdrum contract show ID`.
```

In logs the same code stands before the step.
'''


def render() -> str:
    """Returns the page."""
    lines = [
        INTRODUCTION, '## Exit codes', '', '| code | meaning |', '|---|---|'
    ]
    for code, meaning in remedies.EXIT_MEANINGS.items():
        lines.append(f'| {int(code)} | {meaning} |')
    lines += ['', '## Error codes', '']
    for cls, remedy in sorted(remedies.REMEDIES.items(),
                              key=lambda pair: pair[0].code):
        lines += [
            f'### {cls.code} {cls.__name__}', '', (cls.__doc__ or
                                                   '').splitlines()[0], '',
            f'* Part: `{remedy.part}:`, exit code {int(remedy.exit_code)}.',
            f'* Cause: {remedy.cause}', f'* What to do: {remedy.remedy}', ''
        ]
    return '\n'.join(lines).rstrip() + '\n'


if __name__ == '__main__':
    print(render(), end='')
