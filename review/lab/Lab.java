package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What the cases share: the record, threads, and the end of all processes that were started. */
final class Lab {
    static final Queue<Process> started = new ConcurrentLinkedQueue<>();
    private static final long startedNs = System.nanoTime();
    private static PrintWriter record;

    /** False if the case runs without its disruption. */
    static final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));

    /** A loopback address of this run's own, so that fixed ports are free. */
    static final String host = "127." + (64 + (int) (ProcessHandle.current().pid() % 128)) + "."
            + (1 + (int) (ProcessHandle.current().pid() / 128 % 250)) + ".";

    private Lab() {}

    interface Case {
        /** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
        int run(Path folder) throws Exception;
    }

    static void main(String recordFile, Case subject) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Lab::endAll));
        int result = 2;
        try {
            result = subject.run(folder);
        } catch (Exception failure) {
            log("the case could not run: " + failure);
        }
        log("result " + result + (isTroubled ? "" : " (TROUBLE=0)"));
        record.close();
        endAll();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) Files.delete(file);
            }
            Files.delete(folder);
        }
        Runtime.getRuntime().halt(result);
    }

    private static void endAll() {
        for (Process process : started) process.destroyForcibly();
        for (Process process : started) {
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    static double nowS() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    static synchronized void log(String text) {
        String line = String.format(Locale.ROOT, "%9.3f %s", nowS(), text);
        record.println(line);
        record.flush();
    }

    static void say(String text) {
        log(text);
        System.out.println(text);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "lab", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends one request on a connection of its own; returns the answer, or null if the connection ends without one. */
    static Message call(Front front, String request, int timeoutMs) {
        try (Socket socket = new Socket(front.host, front.callersPort)) {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return Message.read(new java.io.BufferedInputStream(socket.getInputStream()));
        } catch (IOException ended) {
            return null;
        }
    }

    /** A request of a consumer, as in PROTOCOL.md. */
    static String request(String method, String path, String id, long deadlineMs, String more, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Medlarhook-Attempt-Id: " + id
                + "\r\nX-Medlarhook-Deadline-Milliseconds: " + deadlineMs + "\r\nX-Api-Key: 2b9wu3fexd9dnn2ctnfz\r\n"
                + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String route(String name, String kind, long timeoutMs, String service, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":400,\"priority\":0,\"service\":\""
                + service + "\",\"attempts\":" + attempts + ",\"anonymous\":false,\"gap_target_ms\":150,\"resumable\":"
                + resumable + "}";
    }

    /** Puts a config with [routes] in force. */
    static void configure(Store store, int version, String services, String... routes) {
        store.put("op", "config", "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[" + services + "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"huka270\","
                + "\"api_keys\":[\"2b9wu3fexd9dnn2ctnfz\"]}]}");
    }

    static void register(Store store, Runner runner, String service, int slots, long born) {
        register(store, runner, service, slots, born, 0);
    }

    static void register(Store store, Runner runner, String service, int slots, long born, int coldRemainingMs) {
        store.put("servers", runner.id, "{\"service\":\"" + service + "\",\"address\":\"" + runner.address()
                + "\",\"zone\":\"valle-a\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":" + coldRemainingMs + ",\"sequence\":1,\"born\":" + born + "}");
    }
}
