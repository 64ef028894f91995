"""HTML pages of the console, which work without JavaScript."""

from collections.abc import Mapping, Sequence
from html import escape
from typing import Any, Final

from merlintrail.state import Difference, Envelope

_STYLE: Final = (
    'body{font:16px/1.5 sans-serif;max-width:64rem;margin:1rem auto;'
    'padding:0 1rem}label{display:inline-block;min-width:18rem}'
    '.error{color:#a00;font-weight:bold}.done{color:#060}'
    'fieldset{margin:.5rem 0}table{border-collapse:collapse}'
    'td,th{border:1px solid #999;padding:.2rem .6rem;text-align:left}'
    'input,select,textarea{font:inherit}'
)


def build_page(title: str, body: str) -> str:
    """Build an HTML document with the navigation of the console."""
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<title>{escape(title)} - merlintrail</title>'
        f'<style>{_STYLE}</style></head><body><nav>'
        '<a href="/">Overview</a> <a href="/configuration">Configuration</a> '
        '<a href="/history">History</a></nav>'
        f'<main><h1>{escape(title)}</h1>{body}</main></body></html>'
    )


def build_login_page(error: str) -> str:
    """Build the page that asks for the operator's key."""
    message = f'<p class="error" role="alert">{escape(error)}</p>'
    return build_page(
        'Sign in',
        f'{message if error else ""}<form method="post" action="/login">'
        '<p><label for="key">Operator key</label> '
        '<input id="key" name="key" type="password" autocomplete="off"></p>'
        '<button>Sign in</button></form>',
    )


def build_table(rows: Sequence[Mapping[str, Any]], caption: str) -> str:
    """Build a table; the columns are the keys of the first row."""
    if not rows:
        return f'<p>{escape(caption)}: none.</p>'
    names = list(rows[0])
    head = ''.join(f'<th scope="col">{escape(name)}</th>' for name in names)
    lines = ''.join(
        '<tr>{0}</tr>'.format(
            ''.join(f'<td>{escape(str(row.get(name)))}</td>' for name in names)
        )
        for row in rows
    )
    return (
        f'<table><caption>{escape(caption)}</caption>'
        f'<thead><tr>{head}</tr></thead><tbody>{lines}</tbody></table>'
    )


def build_overview(
    status: Mapping[str, Any], members: Sequence[Mapping[str, Any]]
) -> str:
    """Build the page that shows the node and the members that it lists."""
    node_rows = [
        {'what': name, 'state': status[name]}
        for name in ('instance', 'data_centre', 'generation', 'health')
    ]
    member_rows = [
        {
            'instance': member['node_id'],
            'data centre': member['data_centre'],
            'status': member['status'],
            'services': ', '.join(
                offer['service'] for offer in member['offers']
            ),
            'relay': 'yes' if member['is_relay'] else '',
        }
        for member in members
    ]
    return build_page(
        'Overview',
        build_table(node_rows, 'This node')
        + build_table(status['backend_servers'], 'Backend servers here')
        + build_table(member_rows, 'Members'),
    )


def build_form_page(
    fields: str, token: str, generation: int, message: str
) -> str:
    """Build the page with the form that edits the document."""
    return build_page(
        'Configuration',
        f'{message}<p>Generation in force when this form was filled: '
        f'{generation}</p><form method="post" action="/configuration">'
        f'<input type="hidden" name="token" value="{token}">'
        f'<input type="hidden" name="seen" value="{generation}">'
        '<p><button name="do" value="check">Check</button> '
        '<button name="do" value="apply">Check and apply</button></p>'
        f'{fields}'
        '<p><button name="do" value="check">Check</button> '
        '<button name="do" value="apply">Check and apply</button></p></form>',
    )


def build_message(text: str, *, is_error: bool) -> str:
    """Build a message that is shown above a form."""
    name = 'error' if is_error else 'done'
    return f'<p class="{name}" role="alert">{escape(text)}</p>'


def build_conflict(current: Envelope, differences: Sequence[Difference]) -> str:
    """Build the message for an operator whose change conflicts."""
    lines = ''.join(
        f'<li>{escape(str(difference))}</li>' for difference in differences
    )
    text = (
        f'{current.operator} applied generation {current.generation} '
        'meanwhile. Nothing of yours was lost or applied: your entries are '
        'below. Applying them now replaces these changes:'
    )
    return f'{build_message(text, is_error=True)}<ul>{lines}</ul>'


def build_history_page(envelopes: Sequence[Envelope]) -> str:
    """Build the page that lists applied changes."""
    rows = [
        {
            'generation': envelope.generation,
            'operator': envelope.operator,
            'change': envelope.change_id,
            'applied at': envelope.applied_at,
        }
        for envelope in envelopes
    ]
    return build_page('History', build_table(rows, 'Changes'))
