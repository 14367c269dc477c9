package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * ONE: two machines report usage in the order A, B, A within lease_ms.
 *
 * The machine that has just reported is stopped, and killed before its grace time is over; it starts again after a short
 * delay. Its successor is stopped as soon as it has reported. The case looks for a machine that reports less than
 * lease_ms after its own report before, with one of the other machine in between.
 */
final class HolderCase {
    private static final long LEASE_MS = 3000;
    private static final long KILL_AFTER_MS = 100;
    private static final long RESTART_AFTER_MS = 200;
    private static final int ROUNDS = 5;

    private record Call(String holder, long fence, double atS, String body) {}

    private final LinkedBlockingQueue<Call> arriving = new LinkedBlockingQueue<>();
    private final List<Call> calls = new ArrayList<>();

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments[0], folder -> new HolderCase().run(folder));
    }

    private int run(java.nio.file.Path folder) throws Exception {
        Store store = new Store(Lab.host + "1");
        store.onUsage = report -> {
            Call call = new Call(report.get("x-medlarhook-duty-holder"),
                    Long.parseLong(report.get("x-medlarhook-fencing-token")), Lab.nowS(), report.bodyText());
            synchronized (calls) {
                calls.add(call);
            }
            arriving.add(call);
            Lab.log("usage report of " + call.holder + " with fence " + call.fence + ": " + call.body);
        };
        Lab.configure(store, 1, "{\"name\":\"dispatch-desk\",\"connection_cap\":110}",
                Lab.route("book", "non_idempotent", 1000, "dispatch-desk", 1, false));
        Lab.register(store, new Runner("i-0", Lab.host + "10", (runner, request, socket) -> {
            Thread.sleep(20);
            Runner.send(socket, runner.head(request, "200 OK") + "Content-Length: 2\r\n\r\nok");
            return true;
        }), "dispatch-desk", 6, 1000);
        Front[] fronts = new Front[2];
        for (int i = 0; i < 2; i++) {
            fronts[i] = new Front("front-valle-a-" + (i + 1), Lab.host + (2 + i), "valle-a", store, folder);
            fronts[i].start();
        }
        Lab.daemon(() -> consumers(fronts));
        if (!Lab.isTroubled) {
            Thread.sleep(40_000);
        } else {
            for (int round = 0; round < ROUNDS && worst() >= LEASE_MS; round++) disturb(fronts);
        }
        Lab.say("usage reports " + calls.size() + "; shortest time from a report of a machine over one of the other to "
                + "its next one: " + (worst() == Long.MAX_VALUE ? "none" : worst() + " ms") + "; lease_ms " + LEASE_MS);
        if (calls.size() < 2) return 2;
        return worst() < LEASE_MS ? 1 : 0;
    }

    private void disturb(Front[] fronts) throws Exception {
        arriving.clear();
        Call first = arriving.poll(20, TimeUnit.SECONDS);
        if (first == null) return;
        Front holder = frontOf(fronts, first.holder);
        holder.signal("TERM");
        Lab.log("SIGTERM to " + first.holder);
        Thread.sleep(KILL_AFTER_MS);
        holder.signal("KILL");
        Lab.log("SIGKILL to " + first.holder);
        Thread.sleep(RESTART_AFTER_MS);
        holder.launch();
        Lab.log("the process of " + first.holder + " starts again");
        Call second = first;
        while (second != null && second.holder.equals(first.holder)) second = arriving.poll(5, TimeUnit.SECONDS);
        if (second == null) return;
        Front successor = frontOf(fronts, second.holder);
        successor.signal("TERM");
        Lab.log("SIGTERM to " + second.holder);
        successor.process.waitFor(8, TimeUnit.SECONDS);
        successor.signal("KILL");
        Thread.sleep(RESTART_AFTER_MS);
        successor.launch();
        Lab.log("the process of " + second.holder + " starts again");
        Thread.sleep(6000);
    }

    private static Front frontOf(Front[] fronts, String holder) {
        return holder.equals("front-valle-a-1") ? fronts[0] : fronts[1];
    }

    /** The shortest time in milliseconds from a report of a machine to a later one of it, with another's in between. */
    private long worst() {
        synchronized (calls) {
            long worst = Long.MAX_VALUE;
            for (int i = 0; i < calls.size(); i++) {
                boolean isBetween = false;
                for (int k = i + 1; k < calls.size(); k++) {
                    if (!calls.get(k).holder.equals(calls.get(i).holder)) isBetween = true;
                    else if (isBetween) {
                        worst = Math.min(worst, Math.round((calls.get(k).atS - calls.get(i).atS) * 1000));
                    }
                }
            }
            return worst;
        }
    }

    private void consumers(Front[] fronts) {
        try {
            for (int i = 0; ; i++) {
                Thread.sleep(50);
                String id = String.format(Locale.ROOT, "d%08x", i);
                Front front = fronts[i % 2];
                Lab.daemon(() -> Lab.call(front, Lab.request("POST", "/book/1", id, 1500, "", "book " + id), 2000));
            }
        } catch (InterruptedException ended) {
            // The case has ended.
        }
    }
}
