"""A small HTTP/1.1 server and client for the stand-ins, over asyncio streams.

Bodies have a length. It is no more than the stand-ins need, and it follows
the users' pages where they say something of a message.
"""

import asyncio
import json


async def read_head(reader):
    """Return start line and headers (lower case), or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Return start line, headers and body, or None if it does not end."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    body = b''
    try:
        length = int(headers.get('content-length', 0))
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                chunk = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
                body += chunk
        elif length:
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return start, headers, body


def encode(start, headers, body=b''):
    """Encode a message with its length."""
    lines = [start]
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


_REASONS = {
    200: 'OK', 400: 'Bad Request', 403: 'Forbidden', 404: 'Not Found',
    410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request',
    500: 'Internal Server Error', 503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def encode_answer(status, headers, body=b''):
    """Encode an answer."""
    return encode(
        f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}', headers, body
    )


def encode_json(document):
    """Encode a JSON body."""
    return json.dumps(document, separators=(',', ':')).encode()


async def ask(
    address, method, path, headers=(), body=b'', timeout_s=1.0, own_host=True
):
    """Send one request on a new connection.

    :returns: status, headers and body, or None without a whole answer.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                encode(
                    f'{method} {path} HTTP/1.1',
                    [('Host', address), *headers] if own_host else headers,
                    body,
                )
            )
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    start, answer_headers, answer_body = message
    return int(start.split(' ')[1]), answer_headers, answer_body
