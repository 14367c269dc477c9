package stage;

import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Stand-ins of the platform's store and of its API, the start of a front, and the record of a case.
 *
 * All of it follows the users' pages; where a page is silent, the stand-ins behave like a sound platform, server or
 * client. The process of the case ends all processes that it started.
 */
public final class Stage implements AutoCloseable {
    public static final String HOST = "127.0.0.1";
    final Path folder;
    final PrintWriter record;
    final long bornNanos = System.nanoTime();
    public final List<Process> processes = new CopyOnWriteArrayList<>();
    public final Path scratch;

    public Stage(Path folder) throws IOException {
        this.folder = folder;
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        scratch = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    private final Set<String> seen = ConcurrentHashMap.newKeySet();

    /** True the first time that it is called with {@code name}. */
    public boolean isFirst(String name) { return seen.add(name); }

    public long ms() { return (System.nanoTime() - bornNanos) / 1_000_000; }

    public synchronized void log(String line) { record.printf("%7d ms  %s%n", ms(), line); }

    /** A port that was free a moment ago. */
    public static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket()) { s.bind(new InetSocketAddress(HOST, 0)); return s.getLocalPort(); }
    }

    /** Starts a front with the command of the deploy file; extra settings follow those of a small deployment. */
    public Front front(String node, int storePort, int cloudPort, List<String> extra) throws IOException {
        return front(node, freePort(), freePort(), freePort(), freePort(), storePort, cloudPort, extra);
    }

    public Front front(String node, int port, int ready, int peer, int metrics, int storePort, int cloudPort, List<String> extra)
            throws IOException {
        Path settings = scratch.resolve(node + ".conf");
        List<String> lines = new ArrayList<>(List.of(
            "node=" + node, "role=front", "machine_class=front", "serves=front", "ip_address=" + HOST, "zone=valle-a",
            "region=valle-central", "zones.valle-a=valle-central", "listen.front=" + HOST + ":" + port,
            "listen.ready=" + HOST + ":" + ready, "internal_ports=" + peer + "," + (peer + 1), "limits.memory_mb=430",
            "limits.cores=1", "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform",
            "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.acknowledge_ms=5000", "bounds.drain_ms=2500",
            "bounds.grace_s=8", "bounds.configuration_ms=2500", "bounds.revoke_partitioned=true", "bounds.revoke_ms=5000",
            "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=58",
            "bounds.require_fencing=false", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.usage_window_s=5",
            "bounds.usage_late_s=10", "platform.address=" + HOST + ":" + storePort, "platform.form=table",
            "cloud.address=" + HOST + ":" + cloudPort, "cloud.duties=usage_reporting,scaling"));
        lines.addAll(extra);
        Files.write(settings, lines);
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) command.addAll(List.of(line.substring(7, line.length() - 1).split(" ")));
        }
        command.replaceAll(word -> word.startsWith("--metrics-port=") ? "--metrics-port=" + metrics : word);
        Front front = new Front(node, port, ready, settings, command);
        front.start();
        return front;
    }

    /** A front and its process. */
    public final class Front {
        public final String node;
        public final int port, ready;
        public final Path settings;
        final List<String> command;
        public volatile Process process;
        int starts;

        Front(String node, int port, int ready, Path settings, List<String> command) {
            this.node = node; this.port = port; this.ready = ready; this.settings = settings; this.command = command;
        }

        public void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("MEDLARHOOK_CONFIG", settings.toString());
            File out = scratch.resolve(node + "-" + (++starts) + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(out);
            process = builder.start();
            processes.add(process);
            log(node + " started, command of the deploy file, pid " + process.pid());
        }

        public void signal(String name) throws Exception {
            log(node + " gets SIG" + name);
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        }

        public boolean isReady() {
            try {
                HttpURLConnection c = (HttpURLConnection) new URL("http://" + HOST + ":" + ready + "/api/readiness").openConnection();
                c.setConnectTimeout(300); c.setReadTimeout(500);
                return c.getResponseCode() == 200;
            } catch (IOException e) { return false; }
        }

        public void awaitReady(long withinMs) throws Exception {
            long end = ms() + withinMs;
            while (!isReady()) {
                if (ms() > end) throw new IllegalStateException(node + " is not ready");
                Thread.sleep(50);
            }
            log(node + " is ready");
        }

        public String output() throws IOException {
            StringBuilder all = new StringBuilder();
            for (int i = 1; i <= starts; i++) all.append(Files.readString(scratch.resolve(node + "-" + i + ".log")));
            return all.toString();
        }
    }

    @Override public void close() throws IOException {
        for (Process p : processes) {
            p.destroyForcibly();
            try { p.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { Thread.currentThread().interrupt(); }
        }
        try (var paths = Files.walk(scratch)) {
            paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
    }

    // ---------------------------------------------------------------- HTTP

    /** One message: its first line, its headers in lower case, its body. */
    public static final class Message {
        public String first;
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];
        public String text() { return new String(body, StandardCharsets.UTF_8); }
        public int status() { return Integer.parseInt(first.split(" ")[1]); }
        public String path() { return first.split(" ")[1]; }
        public String method() { return first.split(" ")[0]; }
    }

    public static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) return text.length() == 0 ? null : text.toString();
            if (b == '\n') { if (text.length() > 0 && text.charAt(text.length() - 1) == '\r') text.setLength(text.length() - 1); return text.toString(); }
            text.append((char) b);
        }
    }

    /** Reads a head, or null at the end of the connection. */
    public static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message m = new Message();
        m.first = first;
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            m.headers.put(l.substring(0, colon).trim().toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        return m;
    }

    public static Message message(InputStream in) throws IOException {
        Message m = head(in);
        if (m == null) return null;
        if ("chunked".equalsIgnoreCase(m.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String l = line(in);
                if (l == null) throw new EOFException("inside a chunked body");
                int size = Integer.parseInt(l.trim(), 16);
                all.write(exactly(in, size));
                line(in);
                if (size == 0) break;
            }
            m.body = all.toByteArray();
        } else if (m.headers.containsKey("content-length")) {
            m.body = exactly(in, Integer.parseInt(m.headers.get("content-length")));
        }
        return m;
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length != size) throw new EOFException("body ends after " + bytes.length + " of " + size);
        return bytes;
    }

    public interface Handler { void handle(Socket socket) throws Exception; }

    /** Listens and hands each connection to a thread of its own. */
    public static final class Listener implements AutoCloseable {
        public final ServerSocket server;
        public final Set<Socket> open = ConcurrentHashMap.newKeySet();
        public Listener(Handler handler) throws IOException { this(handler, 0, 0); }
        public Listener(Handler handler, int port, int receiveBuffer) throws IOException {
            server = new ServerSocket();
            if (receiveBuffer > 0) server.setReceiveBufferSize(receiveBuffer);
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(HOST, port), 512);
            daemon(() -> {
                while (true) {
                    Socket socket;
                    try { socket = server.accept(); } catch (IOException e) { return; }
                    open.add(socket);
                    daemon(() -> {
                        try (socket) { socket.setTcpNoDelay(true); handler.handle(socket); }
                        catch (Exception e) { /* the connection has ended */ }
                        finally { open.remove(socket); }
                    });
                }
            });
        }
        public int port() { return server.getLocalPort(); }
        @Override public void close() throws IOException { server.close(); for (Socket s : open) s.close(); }
    }

    public static Thread daemon(Runnable task) {
        Thread t = new Thread(null, task, "stand-in", 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    // ---------------------------------------------------------------- store

    /** The platform's metadata store: rows, transactions and feeds. */
    public final class Store {
        public final class Row { String table, key, value; long version; boolean removed; }
        final TreeMap<String, Row> rows = new TreeMap<>();
        long version = 1;
        public Listener listener;
        /** Answers a call in place of the store, or returns false; for disruptions. */
        public volatile Disruption disruption = (m, s) -> false;

        public Store() throws IOException { listener = new Listener(this::serve); }

        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message m = message(in); m != null; m = message(in)) {
                if (disruption.replaces(m, socket)) return;
                String path = m.path().replaceAll("\\?.*", "");
                Map<String, String> query = query(m.path());
                String body;
                int status = 200;
                switch (path) {
                    case "/api/rows-get" -> body = get(query);
                    case "/api/rows-feed" -> body = feed(query);
                    case "/api/rows-tx" -> {
                        body = transact((Map<?, ?>) Json.parse(m.text()));
                        if (body == null) { status = 412; body = "{\"rows\":[]}"; }
                    }
                    default -> { status = 404; body = "{}"; }
                }
                answer(socket, status, body);
            }
        }

        public void answer(Socket socket, int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            synchronized (socket) { socket.getOutputStream().write(concat(head.getBytes(), bytes)); }
        }

        public synchronized void put(String table, String key, String text) {
            Row r = new Row();
            r.table = table; r.key = key; r.version = ++version;
            r.value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
            rows.put(table + "\u0000" + key, r);
            notifyAll();
        }

        public synchronized void remove(String table, String key) {
            Row r = rows.get(table + "\u0000" + key);
            if (r == null || r.removed) return;
            r.removed = true; r.version = ++version; r.value = null;
            notifyAll();
        }

        String json(Row r) {
            return "{\"table\":" + Json.text(r.table) + ",\"part\":\"\",\"key\":" + Json.text(r.key) + ",\"row_version\":" + r.version
                + (r.removed ? ",\"removed\":true}" : ",\"value\":" + Json.text(r.value) + "}");
        }

        String page(List<Row> found, boolean more) {
            StringJoiner all = new StringJoiner(",");
            found.forEach(r -> all.add(json(r)));
            return "{\"rows\":[" + all + "],\"has_more\":" + more + ",\"row_version\":" + version + ",\"current_ms\":" + (ms() + 1_000_000) + "}";
        }

        synchronized String get(Map<String, String> q) {
            String from = q.getOrDefault("from", ""), to = q.get("to");
            int limit = Integer.parseInt(q.getOrDefault("limit", "500"));
            List<Row> found = new ArrayList<>();
            boolean more = false;
            for (Row r : rows.values()) {
                if (r.removed || !r.table.equals(q.get("table")) || r.key.compareTo(from) < 0) continue;
                if (to != null && r.key.compareTo(to) >= 0) continue;
                if (found.size() == limit) { more = true; break; }
                found.add(r);
            }
            return page(found, more);
        }

        synchronized String feed(Map<String, String> q) throws InterruptedException {
            long after = Long.parseLong(q.get("after")), end = ms() + Long.parseLong(q.getOrDefault("wait_ms", "0"));
            while (true) {
                List<Row> found = new ArrayList<>();
                for (Row r : rows.values()) if (r.table.equals(q.get("table")) && r.version > after) found.add(r);
                found.sort(Comparator.comparingLong(r -> r.version));
                long left = end - ms();
                if (!found.isEmpty() || left <= 0) return page(found, false);
                wait(left);
            }
        }

        synchronized String transact(Map<?, ?> tx) {
            for (Object o : list(tx.get("expected_revision"))) {
                Map<?, ?> c = (Map<?, ?>) o;
                Row r = rows.get(c.get("table") + "\u0000" + c.get("key"));
                long is = r == null || r.removed ? 0 : r.version;
                if (is != ((Number) c.get("row_version")).longValue()) return null;
            }
            version++;
            for (Object o : list(tx.get("puts"))) {
                Map<?, ?> p = (Map<?, ?>) o;
                Row r = new Row();
                r.table = (String) p.get("table"); r.key = (String) p.get("key"); r.value = (String) p.get("value"); r.version = version;
                rows.put(r.table + "\u0000" + r.key, r);
            }
            for (Object o : list(tx.get("remove"))) {
                Map<?, ?> p = (Map<?, ?>) o;
                Row r = rows.get(p.get("table") + "\u0000" + p.get("key"));
                if (r != null) { r.removed = true; r.version = version; r.value = null; }
            }
            notifyAll();
            return "{\"row_version\":" + version + ",\"current_ms\":" + (ms() + 1_000_000) + "}";
        }
    }

    /** The platform's API: takes usage reports. */
    public static Listener cloud(Stage stage, Store store) throws IOException {
        return new Listener(socket -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message m = message(in); m != null; m = message(in)) {
                stage.log("platform gets " + m.first + " from " + m.headers.get("x-medlarhook-duty-holder") + ", fence "
                    + m.headers.get("x-medlarhook-fencing-token") + ", " + m.text());
                store.answer(socket, 200, "{}");
            }
        });
    }

    /** Registers a runner as it does itself. */
    public static void register(Store store, String id, String service, int port, int slots) {
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + HOST + ":" + port
            + "\",\"zone\":\"valle-a\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}");
    }

    public interface Disruption { boolean replaces(Message m, Socket socket) throws Exception; }

    static List<?> list(Object o) { return o == null ? List.of() : (List<?>) o; }

    static Map<String, String> query(String target) {
        Map<String, String> all = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) for (String pair : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            all.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return all;
    }

    public static byte[] concat(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    /** Reads JSON into maps, lists, texts, numbers and booleans. */
    public static final class Json {
        private final String s; private int i;
        private Json(String s) { this.s = s; }
        public static Object parse(String s) { Json j = new Json(s); return j.value(); }
        private void space() { while (i < s.length() && Character.isWhitespace(s.charAt(i))) i++; }
        private Object value() {
            space();
            char c = s.charAt(i);
            if (c == '{') {
                Map<String, Object> m = new LinkedHashMap<>(); i++; space();
                while (s.charAt(i) != '}') { space(); String k = string(); space(); i++; m.put(k, value()); space(); if (s.charAt(i) == ',') i++; space(); }
                i++; return m;
            }
            if (c == '[') {
                List<Object> l = new ArrayList<>(); i++; space();
                while (s.charAt(i) != ']') { l.add(value()); space(); if (s.charAt(i) == ',') i++; space(); }
                i++; return l;
            }
            if (c == '"') return string();
            int from = i;
            while (i < s.length() && ",]} \n".indexOf(s.charAt(i)) < 0) i++;
            String w = s.substring(from, i);
            return switch (w) { case "true" -> true; case "false" -> false; case "null" -> null;
                default -> w.matches("-?\\d+") ? (Object) Long.parseLong(w) : (Object) Double.parseDouble(w); };
        }
        private String string() {
            StringBuilder t = new StringBuilder(); i++;
            while (s.charAt(i) != '"') {
                char c = s.charAt(i++);
                if (c == '\\') { char e = s.charAt(i++);
                    switch (e) { case 'n' -> t.append('\n'); case 't' -> t.append('\t'); case 'r' -> t.append('\r');
                        case 'u' -> { t.append((char) Integer.parseInt(s.substring(i, i + 4), 16)); i += 4; }
                        default -> t.append(e); } }
                else t.append(c);
            }
            i++; return t.toString();
        }
        public static String text(String t) { return "\"" + t.replace("\\", "\\\\").replace("\"", "\\\"").replace("\u0000", "\\u0000") + "\""; }
    }
}
