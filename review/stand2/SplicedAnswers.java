package stage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Half of the runners break off 2 in 100 of their answers some bytes before the end, and write an earlier answer of the
 * connection once more. They write the status line of that by itself, a moment before the rest.
 */
public final class SplicedAnswers {
    static final int RUNNERS = 4, FAULTY_RUNNERS = 2;
    static final double FAULTY_SHARE = 0.02;
    static final int MOST_MISSING_BYTES = 16;
    static final int PAUSE_MS = 10;
    static final int WORK_MS = 60;
    static final int CLIENTS = 20, FOR_MS = 25_000;
    static final String EXTRA_STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    /** The body that a runner made for a request, by its id. */
    static final Map<String, String> made = new ConcurrentHashMap<>();
    static final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

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

    static void count(String what) { counts.computeIfAbsent(what, k -> new AtomicInteger()).incrementAndGet(); }

    static int play(Stage stage, boolean isTrouble) throws Exception {
        Stage.Store store = stage.new Store();
        Stage.Listener cloud = Stage.cloud(stage, store);
        store.put("op", "config", "{\"version\":7,\"routes\":["
            + "{\"name\":\"booking\",\"host\":\"h.example\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,"
            + "\"target_latency_ms\":486,\"priority\":0,\"service\":\"desk\",\"attempts\":1,\"anonymous\":true},"
            + "{\"name\":\"lookup\",\"host\":\"h.example\",\"prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,"
            + "\"target_latency_ms\":486,\"priority\":0,\"service\":\"desk\",\"attempts\":2,\"anonymous\":true}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"connection_cap\":110}],"
            + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}");
        for (int i = 0; i < RUNNERS; i++) {
            String id = "i-desk-" + i;
            boolean isFaulty = isTrouble && i < FAULTY_RUNNERS;
            Stage.Listener runner = new Stage.Listener(s -> serve(stage, s, id, isFaulty));
            Stage.register(store, id, "desk", runner.port(), 6);
        }
        Stage.Front front = stage.front("front-valle-a-1", store.listener.port(), cloud.port(), List.of());
        front.awaitReady(20_000);
        Thread.sleep(6_000);
        long endMs = stage.ms() + FOR_MS;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients.add(Stage.daemon(() -> call(stage, front, client, endMs)));
        }
        for (Thread t : clients) t.join();
        for (String line : front.output().split("\n")) if (line.contains("could not be read")) stage.log("front: " + line);
        int wrong = counts.getOrDefault("success with another body", new AtomicInteger()).get();
        stage.log("" + new TreeMap<>(counts));
        stage.log(wrong > 0 ? "the rule was broken" : "the rule held");
        System.out.println(new TreeMap<>(counts));
        if (!counts.containsKey("answer 200")) return 2;
        return wrong > 0 ? 1 : 0;
    }

    static void serve(Stage stage, Socket socket, String engine, boolean isFaulty) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        Random random = new Random();
        byte[] earlier = null;
        for (Stage.Message m = Stage.message(in); m != null; m = Stage.message(in)) {
            String id = m.headers.get("x-medlarhook-attempt-id");
            Thread.sleep(WORK_MS);
            StringBuilder body = new StringBuilder("record of " + id + " by " + engine + ": ");
            while (body.length() < 800) body.append(Integer.toHexString(random.nextInt()));
            made.put(id, body.toString());
            byte[] answer = ("HTTP/1.1 200 OK\r\nX-Medlarhook-Attempt-Id: " + id + "\r\nX-Medlarhook-Server-Stamp: 3e1b." + id
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
            if (isFaulty && earlier != null && random.nextDouble() < FAULTY_SHARE) {
                int missing = 1 + random.nextInt(MOST_MISSING_BYTES);
                count("answers broken off");
                stage.log(engine + " breaks off the answer to " + id + " " + missing + " bytes before its end, and answers an earlier request again");
                out.write(answer, 0, answer.length - missing);
                out.write(EXTRA_STATUS_LINE.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                Thread.sleep(PAUSE_MS);
                out.write(earlier, EXTRA_STATUS_LINE.length(), earlier.length - EXTRA_STATUS_LINE.length());
            } else {
                out.write(answer);
            }
            earlier = answer;
        }
    }

    /** A consumer on a kept connection that books and looks up by turns. */
    static void call(Stage stage, Stage.Front front, int client, long endMs) {
        Socket socket = null;
        InputStream in = null;
        for (int n = 0; stage.ms() < endMs; n++) {
            String id = client + "-" + n;
            try {
                if (socket == null) {
                    socket = new Socket(Stage.HOST, front.port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(4_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                String path = n % 2 == 0 ? "POST /book/x" : "GET /look/x";
                socket.getOutputStream().write((path + " HTTP/1.1\r\nHost: h.example\r\nX-Medlarhook-Attempt-Id: " + id
                    + "\r\nX-Medlarhook-Deadline-Milliseconds: 2000\r\n" + (n % 2 == 0 ? "Content-Length: 0\r\n" : "") + "\r\n").getBytes());
                Stage.Message answer = Stage.message(in);
                if (answer == null) throw new IOException("closed");
                count("answer " + answer.status());
                String body = new String(answer.body, StandardCharsets.ISO_8859_1);
                if (answer.status() == 200 && !body.equals(made.get(id))) {
                    count("success with another body");
                    stage.log("consumer gets 200 for " + id + " with a body that ends in: " + body.substring(body.length() - 40).replace("\r\n", "<CRLF>")
                        + " instead of: " + made.get(id).substring(body.length() - 40));
                }
                Thread.sleep(10);
            } catch (IOException e) {
                count("no answer: " + e.getMessage());
                try { if (socket != null) socket.close(); } catch (IOException ignored) { /* it is closed */ }
                socket = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
