package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's metadata store and of the service that takes usage reports.
 *
 * Rows, transactions, range reads and feeds follow PROTOCOL.md. A feed returns the changes of its table in order, from the
 * history; a row that has changed twice is in it twice.
 */
final class Store {
    private static final class Row {
        String value;
        long version;
    }

    private record Change(String table, long version, String json) {}

    final ServerSocket server;
    private final TreeMap<String, Row> rows = new TreeMap<>();

    /** All changes as table, version and row of an answer; a case is shorter than the history of a store. */
    private final List<Change> history = new ArrayList<>();

    /** Called with each usage report, before it is answered. */
    volatile java.util.function.Consumer<Message> onUsage = report -> {};
    private final long startedNs = System.nanoTime();
    private long version = 1;

    Store(String host) throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        Lab.daemon(this::acceptAll);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized void put(String table, String key, String text) {
        Row row = new Row();
        row.value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        row.version = ++version;
        change(table, key, row);
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        Row row = new Row();
        row.version = ++version;
        change(table, key, row);
        notifyAll();
    }

    private void change(String table, String key, Row row) {
        rows.put(table + "\0" + key, row);
        history.add(new Change(table, row.version, json(table, key, row)));
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Lab.daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            while (true) {
                Message request = Message.read(in);
                if (request == null) return;
                String answer = answer(request);
                int status = Integer.parseInt(answer.substring(0, 3));
                byte[] body = answer.substring(3).getBytes(StandardCharsets.UTF_8);
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.writeBytes(("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.writeBytes(body);
                OutputStream to = socket.getOutputStream();
                to.write(out.toByteArray());
                to.flush();
            }
        } catch (IOException | InterruptedException gone) {
            // The connection has ended.
        }
    }

    private String answer(Message request) throws InterruptedException {
        String[] line = request.line.split(" ");
        String path = line[1].contains("?") ? line[1].substring(0, line[1].indexOf('?')) : line[1];
        Map<String, String> query = new LinkedHashMap<>();
        if (line[1].contains("?")) {
            for (String pair : line[1].substring(line[1].indexOf('?') + 1).split("&")) {
                int at = pair.indexOf('=');
                if (at > 0) query.put(pair.substring(0, at),
                        URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        if (path.equals("/usage")) onUsage.accept(request);
        return switch (path) {
            case "/api/rows-get" -> get(query);
            case "/api/rows-feed" -> feed(query);
            case "/api/rows-tx" -> transact(request.bodyText());
            case "/usage" -> "200{}";
            default -> "404{}";
        };
    }

    private synchronized String get(Map<String, String> query) {
        List<String> found = new ArrayList<>();
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        boolean hasMore = false;
        for (Map.Entry<String, Row> entry : rows.entrySet()) {
            String table = entry.getKey().substring(0, entry.getKey().indexOf('\0'));
            String key = entry.getKey().substring(entry.getKey().indexOf('\0') + 1);
            if (!table.equals(query.get("table")) || entry.getValue().value == null) continue;
            if (key.compareTo(query.getOrDefault("from", "")) < 0) continue;
            if (query.containsKey("to") && key.compareTo(query.get("to")) >= 0) continue;
            if (found.size() >= limit) {
                hasMore = true;
                break;
            }
            found.add(json(table, key, entry.getValue()));
        }
        return page(found, hasMore);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilNs = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<String> changed = new ArrayList<>();
            for (Change change : history) {
                if (change.version > after && change.table.equals(query.get("table"))) changed.add(change.json);
            }
            long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) return page(changed, false);
            wait(leftMs);
        }
    }

    private String page(List<String> found, boolean hasMore) {
        return "200{\"rows\":[" + String.join(",", found) + "],\"has_more\":" + hasMore + ",\"row_version\":" + version
                + ",\"current_ms\":" + (System.nanoTime() - startedNs) / 1_000_000 + "}";
    }

    private static String json(String table, String key, Row row) {
        return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"row_version\":" + row.version
                + (row.value == null ? ",\"removed\":true}" : ",\"value\":\"" + row.value + "\"}");
    }

    /** Applies a transaction. The bodies of the system hold flat objects in three lists, which this reads. */
    private synchronized String transact(String body) {
        for (Map<String, String> expected : objects(body, "expected_revision")) {
            Row row = rows.get(expected.get("table") + "\0" + expected.get("key"));
            long current = row == null || row.value == null ? 0 : row.version;
            if (current != Long.parseLong(expected.get("row_version"))) return "412{\"rows\":[]}";
        }
        version++;
        for (Map<String, String> put : objects(body, "puts")) {
            Row row = new Row();
            row.value = put.get("value");
            row.version = version;
            change(put.get("table"), put.get("key"), row);
        }
        for (Map<String, String> removed : objects(body, "remove")) {
            Row row = new Row();
            row.version = version;
            change(removed.get("table"), removed.get("key"), row);
        }
        notifyAll();
        return "200{\"row_version\":" + version + ",\"current_ms\":" + (System.nanoTime() - startedNs) / 1_000_000
                + "}";
    }

    private static List<Map<String, String>> objects(String body, String list) {
        List<Map<String, String>> found = new ArrayList<>();
        int at = body.indexOf("\"" + list + "\"");
        if (at < 0) return found;
        int from = body.indexOf('[', at);
        int to = body.indexOf(']', from);
        String text = body.substring(from + 1, to);
        for (String object : text.split("\\}")) {
            Map<String, String> fields = new LinkedHashMap<>();
            java.util.regex.Matcher field =
                    java.util.regex.Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(-?\\d+))").matcher(object);
            while (field.find()) fields.put(field.group(1), field.group(2) != null ? field.group(2) : field.group(3));
            if (!fields.isEmpty()) found.add(fields);
        }
        return found;
    }
}
