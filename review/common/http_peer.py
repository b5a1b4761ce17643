"""A small HTTP/1.1 server and client on plain sockets, for the stand-ins.

The server passes each request to a handler together with its connection, so
that a stand-in can answer late, in parts, or close the connection.
"""
import socket
import threading


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers  # names in lower case
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            if name:
                self.query[name] = unquote(value)


def unquote(text):
    out = bytearray()
    data = text.encode()
    i = 0
    while i < len(data):
        if data[i] == 0x25 and i + 2 < len(data) + 0:
            out.append(int(data[i + 1:i + 3], 16))
            i += 3
        else:
            out.append(data[i])
            i += 1
    return out.decode("utf-8", "replace")


class Reader:
    """Buffered reads from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode("latin-1")

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def headers(self):
        headers = {}
        while True:
            line = self.line()
            if not line:
                return headers
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()

    def chunk(self):
        """The next chunk of a chunked body; empty at its end."""
        size = int(self.line().split(";")[0], 16)
        data = self.exactly(size)
        self.line()
        return data


class Connection:
    """The server's side of one connection."""

    def __init__(self, sock):
        self.sock = sock
        self.reader = Reader(sock)
        self.lock = threading.Lock()

    def send(self, data):
        with self.lock:
            self.sock.sendall(data)

    def reply(self, status, headers=(), body=b""):
        head = "HTTP/1.1 %d Status\r\n" % status
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        head += "Content-Length: %d\r\n\r\n" % len(body)
        self.send(head.encode() + body)

    def start_stream(self, status, headers):
        head = "HTTP/1.1 %d Status\r\n" % status
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        self.send((head + "Transfer-Encoding: chunked\r\n\r\n").encode())

    def send_part(self, data):
        self.send(b"%x\r\n" % len(data) + data + b"\r\n")

    def end_stream(self):
        self.send(b"0\r\n\r\n")

    def is_closed_by_peer(self):
        self.sock.setblocking(False)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            try:
                self.sock.setblocking(True)
            except OSError:
                pass

    def close(self):
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()


class Server:
    """Serves `handler(request, connection)` with a thread for each connection."""

    def __init__(self, address, handler):
        self.handler = handler
        self.connections = set()
        self.lock = threading.Lock()
        self.is_open = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, port = address.split(":")
        self.listener.bind((host, int(port)))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(sock)
            with self.lock:
                if not self.is_open:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.reader
        try:
            while True:
                method, target, _ = reader.line().split(" ", 2)
                headers = reader.headers()
                body = b""
                if "content-length" in headers:
                    body = reader.exactly(int(headers["content-length"]))
                elif headers.get("transfer-encoding", "").lower() == "chunked":
                    while part := reader.chunk():
                        body += part
                self.handler(Request(method, target, headers, body), connection)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def stop(self):
        """Closes the port and all connections, as when the process ends."""
        with self.lock:
            self.is_open = False
            connections = list(self.connections)
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in connections:
            connection.close()


class Answer:
    def __init__(self, status, headers, body, is_complete):
        self.status = status  # 0: no answer
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


class Channel:
    """A client's connection, kept for several requests."""

    def __init__(self, address, timeout=1.0):
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def request(self, method, target, headers, body=b"", timeout=10.0):
        self.sock.settimeout(timeout)
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        status, answer_headers, data = 0, {}, b""
        try:
            self.sock.sendall((head + "\r\n").encode() + body)
            status = int(self.reader.line().split(" ")[1])
            answer_headers = self.reader.headers()
            if "content-length" in answer_headers:
                want = int(answer_headers["content-length"])
                while len(data) < want:
                    data += self.reader.exactly(1)
                    more = self.reader.buffer[:want - len(data)]
                    self.reader.buffer = self.reader.buffer[len(more):]
                    data += more
            else:
                while part := self.reader.chunk():
                    data += part
            return Answer(status, answer_headers, data, True)
        except (OSError, ValueError, IndexError):
            return Answer(status, answer_headers, data, False)

    def close(self):
        self.sock.close()


def call(address, method, target, headers, body=b"", timeout=10.0):
    """One request on a new connection; status 0 if it got no answer."""
    try:
        channel = Channel(address)
    except OSError:
        return Answer(0, {}, b"", False)
    try:
        return channel.request(method, target, list(headers) + [("Connection", "close")],
                               body, timeout)
    finally:
        channel.close()
