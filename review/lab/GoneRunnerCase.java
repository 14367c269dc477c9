package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: a front is partitioned from the store while the row of a runner is written and then removed.
 *
 * Three runners take bookings. The third has just started; while the front is cut off, it writes that it is no longer
 * cold, and then its entry is removed. It never reports draining, and serves on for longer than drain_ms, as pages allow.
 * The case counts bookings that reach it later than drain_ms after its removal, from a front that is in touch again.
 */
final class GoneRunnerCase {
    private static final long DRAIN_MS = 2500;
    private static final long CONTACT_MS = 4000;
    private static final long CUT_MS = 6000;
    private static final long SERVES_ON_MS = 16_000;
    private static final int BOOKINGS_PER_S = 30;

    private volatile double removedS = Double.MAX_VALUE;
    private volatile double inTouchS = Double.MAX_VALUE;
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unknown = new AtomicInteger();
    private volatile Runner leaving;

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments[0], folder -> new GoneRunnerCase().run(folder));
    }

    private int run(java.nio.file.Path folder) throws Exception {
        Store store = new Store(Lab.host + "1");
        Link link = new Link(Lab.host + "1", store.address());
        Lab.configure(store, 1, "{\"name\":\"dispatch-desk\",\"connection_cap\":110}",
                Lab.route("book", "non_idempotent", 1000, "dispatch-desk", 1, false));
        Runner[] runners = new Runner[3];
        for (int i = 0; i < 3; i++) {
            runners[i] = new Runner("i-" + i, Lab.host + (10 + i), this::book);
            if (i < 2) Lab.register(store, runners[i], "dispatch-desk", 6, 1000 + i);
        }
        Front front = new Front("front-valle-a-1", Lab.host + "2", "valle-a", link.address(), folder);
        front.start();
        leaving = runners[2];
        Lab.register(store, leaving, "dispatch-desk", 6, 1002, 8000);
        Lab.log("runner i-2 has started and registers");
        Lab.daemon(() -> consumers(front));
        Thread.sleep(5000);
        link.setCut(Lab.isTroubled);
        if (Lab.isTroubled) Lab.log("the front is partitioned from the store");
        Thread.sleep(1500);
        Lab.register(store, leaving, "dispatch-desk", 6, 1002, 0);
        Lab.log("runner i-2 writes that it is no longer cold");
        Thread.sleep(2500);
        store.remove("servers", "i-2");
        removedS = Lab.nowS();
        Lab.log("the entry of runner i-2 is removed");
        Thread.sleep(CUT_MS - 4000);
        link.setCut(false);
        inTouchS = Lab.nowS() + CONTACT_MS / 1000.0;
        Lab.log("the link to the store is whole again");
        Thread.sleep(SERVES_ON_MS - (CUT_MS - 4000));
        Lab.log("runner i-2 exits");
        leaving.crash();
        Thread.sleep(2000);
        for (String line : front.logLines("Upstreams changed")) Lab.log("log of the front: " + line);
        Lab.say("bookings answered " + answered + ", with an unknown outcome " + unknown + ", run at i-2 " + ran);
        Lab.say("bookings that reached i-2 later than drain_ms after its removal, from a front in touch: " + late);
        return late.get() > 0 ? 1 : answered.get() < 100 ? 2 : 0;
    }

    private boolean book(Runner runner, Message request, java.net.Socket socket)
            throws IOException, InterruptedException {
        if (!request.line.contains("/book/")) return false;
        String id = request.get("x-medlarhook-attempt-id");
        if (runner == leaving) {
            ran.incrementAndGet();
            double nowS = Lab.nowS();
            if (nowS > removedS + DRAIN_MS / 1000.0 && nowS > inTouchS) {
                late.incrementAndGet();
                Lab.log(String.format(java.util.Locale.ROOT, "booking %s reaches i-2 %.3f s after its removal", id,
                        nowS - removedS));
            }
        }
        Thread.sleep(86);
        Runner.send(socket, runner.head(request, "200 OK") + "Content-Length: 2\r\n\r\nok");
        return true;
    }

    private void consumers(Front front) {
        try {
            for (int i = 0; ; i++) {
                Thread.sleep(1000 / BOOKINGS_PER_S);
                String id = String.format("c%08x", i);
                Lab.daemon(() -> {
                    Message answer = Lab.call(front, Lab.request("POST", "/book/1", id, 1500, "", "book " + id), 2000);
                    if (answer != null && answer.isComplete && answer.status() == 200) {
                        answered.incrementAndGet();
                    } else if (answer == null || answer.status() == 502 || answer.status() == 504) {
                        unknown.incrementAndGet();
                        Lab.log("booking " + id + " has an unknown outcome: "
                                + (answer == null ? "no answer" : answer.line));
                    }
                });
            }
        } catch (InterruptedException ended) {
            // The case has ended.
        }
    }
}
