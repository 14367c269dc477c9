package stage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An engine of the decode stage drains and leaves while prompts of requests that were placed there are still read at an
 * engine of the prefill stage that has turned slow.
 */
public final class LateDecode {
    static final int DRAIN_MS = 2_500;
    /** How long a leaving engine serves on after that. */
    static final int LITTLE_LONGER_MS = 1_200;
    static final int PROMPT_TOKENS = 39_600;
    static final int PREFILL_TOKENS_PER_MS = 514;
    static final int SLOW_TIMES = 8;
    static final int SLOW_FOR_MS = 6_500;
    static final int PREFILL_ENGINES = 2, DECODE_ENGINES = 6;
    static final int EVENTS = 40, EVENT_EVERY_MS = 40;
    static final int FRONTS = 3, REQUESTS = 8, ROUNDS = 1;

    /** A run at an engine: when the request reached it, and how many events it made. */
    static final class Arrival {
        final String engine, id;
        final long atMs;
        volatile int events;
        Arrival(String engine, String id, long atMs) { this.engine = engine; this.id = id; this.atMs = atMs; }
    }

    /** Until when the first prefill engine is slow, on the clock of the case. */
    static volatile long slowUntilMs = -1;
    /** An engine reads one prompt after another. */
    static final Map<String, ReentrantLock> turns = new ConcurrentHashMap<>();
    static final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Stage stage = new Stage(Path.of(args[0]))) {
            exit = play(stage, isTrouble);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    static int play(Stage stage, boolean isTrouble) throws Exception {
        Stage.Store store = stage.new Store();
        Stage.Listener cloud = Stage.cloud(stage, store);
        store.put("op", "config", "{\"version\":7,\"routes\":[{\"name\":\"guide\",\"host\":\"h.example\",\"prefix\":\"/guide/\",\"kind\":\"streaming\","
            + "\"timeout_ms\":15000,\"target_latency_ms\":614,\"priority\":0,\"service\":\"lamp\",\"attempts\":1,\"anonymous\":true,"
            + "\"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":150}],\"services\":[{\"name\":\"lamp\",\"health_path\":\"/health\","
            + "\"connection_cap\":170,\"engine\":{\"slots\":12,\"key_value_tokens\":783000,\"key_value_bytes\":163840,\"link_mbps\":5400000.0,"
            + "\"stride\":8,\"handle_ttl_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}");
        for (int i = 0; i < PREFILL_ENGINES; i++) {
            String id = "i-prefill-" + i;
            Stage.Listener engine = new Stage.Listener(s -> prefill(stage, s, id));
            register(store, id, engine.port(), "prefill", "ready");
        }
        List<Stage.Listener> engines = new ArrayList<>();
        for (int i = 0; i < DECODE_ENGINES; i++) {
            String id = "i-decode-" + i;
            Stage.Listener engine = new Stage.Listener(s -> decode(stage, s, id));
            engines.add(engine);
            register(store, id, engine.port(), "decode", "ready");
        }
        List<Stage.Front> fronts = new ArrayList<>();
        for (int i = 1; i <= FRONTS; i++) fronts.add(stage.front("front-valle-a-" + i, store.listener.port(), cloud.port(), List.of()));
        for (Stage.Front front : fronts) front.awaitReady(20_000);
        List<Thread> first = new ArrayList<>();
        for (Stage.Front front : fronts) {
            first.add(Stage.daemon(() -> {
                for (int k = 0; k < 4; k++) request(stage, front, "first-" + k + "-" + front.node);
            }));
        }
        for (Thread t : first) t.join();
        Thread.sleep(6_000);

        long[] drainingAtMs = new long[DECODE_ENGINES];
        List<String> outcomes = new CopyOnWriteArrayList<>();
        ExecutorService pool = Executors.newCachedThreadPool();
        for (int round = 0; round < ROUNDS; round++) {
            List<Future<?>> open = new ArrayList<>();
            if (isTrouble) {
                slowUntilMs = stage.ms() + SLOW_FOR_MS;
                stage.log("i-prefill-0 works " + SLOW_TIMES + " times as long for " + SLOW_FOR_MS + " ms");
            }
            for (int k = 0; k < REQUESTS; k++) {
                for (Stage.Front front : fronts) {
                    String id = "r" + round + "-" + k + "-" + front.node.substring(front.node.lastIndexOf('-') + 1);
                    open.add(pool.submit(() -> outcomes.add(id + " " + request(stage, front, id))));
                }
                Thread.sleep(10);
            }
            Thread.sleep(50);
            String leaving = "i-decode-" + round;
            drainingAtMs[round] = stage.ms();
            register(store, leaving, engines.get(round).port(), "decode", "draining");
            stage.log(leaving + " reports draining; the store has accepted that");
            Thread.sleep(DRAIN_MS + LITTLE_LONGER_MS);
            engines.get(round).close();
            store.remove("servers", leaving);
            stage.log(leaving + " has ended");
            for (Future<?> f : open) f.get();
            Thread.sleep(Math.max(0, slowUntilMs - stage.ms()));
        }
        pool.shutdown();
        int late = 0, cut = 0;
        for (Arrival a : arrivals) {
            int number = Integer.parseInt(a.engine.substring(a.engine.lastIndexOf('-') + 1));
            long drainingMs = drainingAtMs[number];
            boolean isLate = drainingMs > 0 && a.atMs > drainingMs + DRAIN_MS;
            if (isLate) late++;
            if (a.events < EVENTS) cut++;
            stage.log(a.id + " reached " + a.engine + " at " + a.atMs + (drainingMs > 0 ? ", draining since " + drainingMs : "")
                + (isLate ? ": LATE by " + (a.atMs - drainingMs - DRAIN_MS) + " ms" : "") + ", events made " + a.events + " of " + EVENTS);
        }
        for (Stage.Front front : fronts)
            for (String line : front.output().split("\n"))
                if (line.contains("draining=true")) stage.log(front.node + " writes " + line);
        outcomes.forEach(stage::log);
        System.out.println("requests " + outcomes.size() + ", arrivals " + arrivals.size() + ", later than drain_ms " + late + ", runs cut " + cut
            + ", " + outcomes);
        if (arrivals.isEmpty()) return 2;
        stage.log(late > 0 ? "the rule was broken" : "the rule held");
        return late > 0 ? 1 : 0;
    }

    static void register(Stage.Store store, String id, int port, String stageName, String state) {
        store.put("servers", id, "{\"service\":\"lamp\",\"address\":\"" + Stage.HOST + ":" + port + "\",\"zone\":\"valle-a\",\"version\":\"v1\",\"slots\":12,"
            + "\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"stage\":\"" + stageName + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            + "\"sequence\":1,\"born\":1700000000000}");
    }

    /** An engine of the prefill stage: reads prompts one after another, and keeps a handle for each. */
    static void prefill(Stage stage, Socket socket, String engine) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Stage.Message m = Stage.message(in); m != null; m = Stage.message(in)) {
            if (m.method().equals("DELETE")) {
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
                continue;
            }
            String id = m.headers.get("x-medlarhook-attempt-id");
            if (!"prefill".equals(m.headers.get("x-medlarhook-stage"))) {
                socket.getOutputStream().write(("HTTP/1.1 421 Misdirected Request\r\nX-Medlarhook-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                continue;
            }
            int tokens = Integer.parseInt(m.headers.get("x-medlarhook-token-count").split(",")[0].trim());
            stage.log(engine + " begins the prompt of " + id);
            ReentrantLock turn = turns.computeIfAbsent(engine, e -> new ReentrantLock(true));
            turn.lock();
            try {
                boolean isSlow = engine.endsWith("-0") && stage.ms() < slowUntilMs;
                Thread.sleep((long) tokens * (isSlow ? SLOW_TIMES : 1) / PREFILL_TOKENS_PER_MS);
            } finally {
                turn.unlock();
            }
            String body = "{\"handle\":\"h" + id + "\",\"token_count\":" + tokens + ",\"version\":1}";
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Medlarhook-Attempt-Id: " + id
                + "\r\nX-Medlarhook-Server-Stamp: 3e1b\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
            stage.log(engine + " has read the prompt of " + id);
        }
    }

    /** An engine of the decode stage: streams events; without a handle it reads the prompt itself at half the speed. */
    static void decode(Stage stage, Socket socket, String engine) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Stage.Message m = Stage.message(in); m != null; m = Stage.message(in)) {
            String id = m.headers.get("x-medlarhook-attempt-id");
            Arrival arrival = new Arrival(engine, id, stage.ms());
            arrivals.add(arrival);
            stage.log(engine + " gets " + id + ", cache source " + m.headers.get("x-medlarhook-cache-source"));
            if (m.headers.get("x-medlarhook-cache-source") == null) Thread.sleep(PROMPT_TOKENS * 2L / PREFILL_TOKENS_PER_MS);
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Medlarhook-Attempt-Id: " + id
                + "\r\nX-Medlarhook-Server-Stamp: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n");
            socket.getOutputStream().write(head.toString().getBytes());
            for (int e = 1; e <= EVENTS; e++) {
                String event = "id: " + e + "\ndata: token " + e + "\n\n";
                socket.getOutputStream().write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
                arrival.events = e;
                Thread.sleep(EVENT_EVERY_MS);
            }
            socket.getOutputStream().write("0\r\n\r\n".getBytes());
        }
    }

    static String request(Stage stage, Stage.Front front, String id) {
        try (Socket socket = new Socket(Stage.HOST, front.port)) {
            socket.setSoTimeout(16_000);
            stage.log(id + " sent");
            socket.getOutputStream().write(("POST /guide/x HTTP/1.1\r\nHost: h.example\r\nX-Medlarhook-Attempt-Id: " + id
                + "\r\nX-Medlarhook-Model: m\r\nX-Medlarhook-Token-Count: " + PROMPT_TOKENS + "," + EVENTS + "\r\nX-Medlarhook-Prompt-Prefix: a" + id.hashCode()
                + ":" + PROMPT_TOKENS + "\r\nX-Medlarhook-Deadline-Milliseconds: 15000\r\nContent-Length: " + PROMPT_TOKENS + "\r\n\r\n").getBytes());
            socket.getOutputStream().write(new byte[PROMPT_TOKENS]);
            Stage.Message answer = Stage.message(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) return "closed without an answer";
            return answer.status() + (answer.status() == 200 ? ", " + answer.text().split("\n\n").length + " events" : "");
        } catch (IOException e) {
            return "stream broken off: " + e.getMessage();
        }
    }
}
