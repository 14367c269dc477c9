package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: the settings file shortens grace_s, SIGHUP says so, and the fronts are stopped and started in turn.
 *
 * Three fronts of one zone take streams of about 1.1 s. Two of them are sent SIGTERM, a second apart, and SIGKILL after the
 * grace_s in force. The case counts requests that were sent later than 3 s after the SIGTERM of the front that
 * took them, that a runner had begun, and whose connection ended without a complete answer.
 */
final class GraceCase {
    private static final int EVENTS = 90;
    private static final int EVENT_MS = 12;
    private static final int GRACE_S = 8;
    private static final int SHORTER_GRACE_S = 4;
    private static final int STREAMS_PER_S = 30;

    /** roll_term with a share of 0.45 of three, rounded up. */
    private static final int STOPPED = 2;

    private final Map<String, Boolean> ran = new ConcurrentHashMap<>();
    private final Map<Front, Long> termNs = new ConcurrentHashMap<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger excused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments[0], folder -> new GraceCase().run(folder));
    }

    private int run(java.nio.file.Path folder) throws Exception {
        Store store = new Store(Lab.host + "1");
        Lab.configure(store, 1, "{\"name\":\"lamp-assistant\",\"connection_cap\":170}",
                Lab.route("guide", "streaming", 15000, "lamp-assistant", 1, false));
        for (int i = 0; i < 8; i++) {
            Lab.register(store, new Runner("i-" + i, Lab.host + (10 + i), this::stream), "lamp-assistant", 12, 1000 + i);
        }
        List<Front> fronts = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Front front = new Front("front-valle-a-" + i, Lab.host + (1 + i), "valle-a", store, folder);
            front.start();
            fronts.add(front);
        }
        int graceS = Lab.isTroubled ? SHORTER_GRACE_S : GRACE_S;
        Balancer balancer = new Balancer(fronts);
        AtomicInteger left = new AtomicInteger();
        Lab.daemon(() -> consumers(balancer, left));
        Thread.sleep(6000);
        if (Lab.isTroubled) {
            for (Front front : fronts) {
                front.settings.put("bounds.grace_s", String.valueOf(SHORTER_GRACE_S));
                front.writeSettings();
                front.signal("HUP");
                Lab.log("the settings of " + front.host + " say grace_s=" + SHORTER_GRACE_S + ", SIGHUP sent");
            }
        }
        Thread.sleep(6000);
        for (Front front : fronts) {
            Lab.log("bounds that " + front.host + " says are in force: " + front.logLines("SETTINGS_RELOADED").size()
                    + " lines, " + front.logLines("shutdownMs"));
        }
        for (Front front : fronts.subList(0, STOPPED)) {
            Lab.daemon(() -> stop(front, graceS));
            Thread.sleep(1000);
        }
        Thread.sleep(GRACE_S * 1000 + 2000);
        Lab.say("streams whole " + whole + ", refused or failed with an answer " + refused
                + ", cut and excused by the rule " + excused);
        Lab.say("requests lost around planned work: " + lost);
        return lost.get() > 0 ? 1 : whole.get() < 100 ? 2 : 0;
    }

    private void stop(Front front, int graceS) {
        try {
            termNs.put(front, System.nanoTime());
            Lab.log("SIGTERM to " + front.host);
            front.signal("TERM");
            if (front.process.waitFor(graceS * 1000L, java.util.concurrent.TimeUnit.MILLISECONDS)) {
                Lab.log(front.host + " has ended");
            } else {
                front.signal("KILL");
                Lab.log("SIGKILL to " + front.host + " after grace_s=" + graceS);
            }
        } catch (IOException | InterruptedException failure) {
            Lab.log("stop: " + failure);
        }
    }

    private void consumers(Balancer balancer, AtomicInteger left) {
        try {
            for (int i = 0; i < STREAMS_PER_S * 25; i++) {
                Thread.sleep(1000 / STREAMS_PER_S);
                Front front = balancer.take();
                if (front == null) continue;
                String id = String.format("b%08x", i);
                Lab.daemon(() -> consume(front, id));
            }
        } catch (InterruptedException ended) {
            // The case has ended.
        }
    }

    private boolean stream(Runner runner, Message request, java.net.Socket socket)
            throws IOException, InterruptedException {
        if (!request.line.contains("/guide/")) return false;
        String id = request.get("x-medlarhook-attempt-id");
        ran.put(id, true);
        Runner.send(socket, runner.head(request, "200 OK")
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MS);
            String text = "id: " + event + "\ndata: piece " + event + " of " + id + "\n\n";
            Runner.send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        Runner.send(socket, "0\r\n\r\n");
        return true;
    }

    private void consume(Front front, String id) {
        long sentNs = System.nanoTime();
        String more = "X-Medlarhook-Model: m\r\nX-Medlarhook-Token-Count: 220,90\r\n"
                + "X-Medlarhook-Prompt-Prefix: 5c1e07a2:79," + id + ":141\r\n";
        Message answer = Lab.call(front, Lab.request("POST", "/guide/1", id, 15000, more, "guide " + id), 16000);
        if (answer != null && answer.isComplete) {
            (answer.status() == 200 ? whole : refused).incrementAndGet();
            return;
        }
        Long term = termNs.get(front);
        if (term == null || !ran.containsKey(id)) {
            if (ran.containsKey(id)) Lab.log("request " + id + " was cut without planned work");
            return;
        }
        double afterS = (sentNs - term) / 1e9;
        if (afterS <= 3) {
            excused.incrementAndGet();
            return;
        }
        lost.incrementAndGet();
        Lab.log(String.format(java.util.Locale.ROOT,
                "request %s was sent to %s %.3f s after its SIGTERM and run; its connection ended after %.3f s "
                        + (answer == null ? "without an answer" : "inside the answer, %d bytes"),
                id, front.host, afterS, (System.nanoTime() - sentNs) / 1e9, answer == null ? 0 : answer.body.size()));
    }
}
