package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Stand-in of the platform's balancer for the fronts of one zone, after the section Ingress of PROTOCOL.md.
 *
 * Each front is asked once a second. After two misses it gets no new connections until it answers 200 again. If fewer
 * than half are in rotation, all of the zone are used; if none is, consumers go to another zone, here to nobody.
 */
final class Balancer {
    private final List<Front> fronts;
    private final int[] misses;
    private int next;

    Balancer(List<Front> fronts) {
        this.fronts = fronts;
        misses = new int[fronts.size()];
        for (int i = 0; i < fronts.size(); i++) {
            int index = i;
            Lab.daemon(() -> check(index));
        }
    }

    private void check(int index) {
        try {
            while (true) {
                boolean isReady = fronts.get(index).isReady();
                synchronized (this) {
                    misses[index] = isReady ? 0 : misses[index] + 1;
                }
                Thread.sleep(1000);
            }
        } catch (InterruptedException ended) {
            // The case has ended.
        }
    }

    /** The front that takes the next connection, or null if consumers go to another zone. */
    synchronized Front take() {
        List<Front> inRotation = new ArrayList<>();
        for (int i = 0; i < misses.length; i++) if (misses[i] < 2) inRotation.add(fronts.get(i));
        if (inRotation.isEmpty()) return null;
        List<Front> used = inRotation.size() * 2 < fronts.size() ? fronts : inRotation;
        return used.get(next++ % used.size());
    }
}
