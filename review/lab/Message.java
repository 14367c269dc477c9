package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP/1.1 message as read from a socket; names of headers are in lower case. */
final class Message {
    final String line;
    final Map<String, String> headers = new LinkedHashMap<>();
    final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** True if the body has ended as its framing says, not only with the connection. */
    boolean isComplete;

    private Message(String line) {
        this.line = line;
    }

    int status() {
        return Integer.parseInt(line.split(" ")[1]);
    }

    String get(String name) {
        return headers.get(name.toLowerCase());
    }

    String bodyText() {
        return body.toString(StandardCharsets.UTF_8);
    }

    /** Reads a message with its body; returns null if the connection ends before its head is whole. */
    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) return null;
        Message message = new Message(line);
        while (true) {
            String header = readLine(in);
            if (header == null) return null;
            if (header.isEmpty()) break;
            int at = header.indexOf(':');
            message.headers.put(header.substring(0, at).trim().toLowerCase(), header.substring(at + 1).trim());
        }
        try {
            message.isComplete = message.readBody(in);
        } catch (IOException reset) {
            message.isComplete = false;
        }
        return message;
    }

    private boolean readBody(InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(get("transfer-encoding"))) {
            while (true) {
                String size = readLine(in);
                if (size == null) return false;
                int length = Integer.parseInt(size.trim(), 16);
                byte[] bytes = in.readNBytes(length);
                body.writeBytes(bytes);
                if (bytes.length < length || readLine(in) == null) return false;
                if (length == 0) return true;
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') {
                int end = text.length();
                return end > 0 && text.charAt(end - 1) == '\r' ? text.substring(0, end - 1) : text.toString();
            }
            text.append((char) next);
        }
    }
}
