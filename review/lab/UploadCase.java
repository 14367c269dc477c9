package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * CONFIG: sixty consumers at once send bodies of the length that the config allows; bookings get no answer any more.
 *
 * Ten consumers make bookings on kept connections. The uploads take 2.5 s each, within the limit of 3 s, and 800 Mbit/s
 * together. The case counts bookings without an answer at the route's time-out, and half a second later.
 */
final class UploadCase {
    private static final int UPLOADS = 60;
    private static final int BODY_BYTES = 4_194_304;
    private static final int USUAL_BODY_BYTES = 55_000;
    private static final int STEPS = 20;
    private static final int STEP_MS = 125;
    private static final int TIMEOUT_MS = 1000;
    private static final int CONSUMERS = 10;
    private static final int FEWEST = 8;

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean isOver = new AtomicBoolean();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger atTimeout = new AtomicInteger();
    private final AtomicInteger halfASecondLater = new AtomicInteger();
    private final AtomicInteger ranWithoutAnswer = new AtomicInteger();
    private final AtomicInteger uploaded = new AtomicInteger();
    private final AtomicInteger notUploaded = new AtomicInteger();
    private final AtomicLong lastServedNs = new AtomicLong();
    private final AtomicLong longestGapMs = new AtomicLong();

    public static void main(String[] arguments) throws IOException {
        Lab.main(arguments[0], folder -> new UploadCase().run(folder));
    }

    private int run(Path folder) throws Exception {
        Store store = new Store(Lab.host + "1");
        Lab.configure(store, 1, "{\"name\":\"dispatch-desk\",\"connection_cap\":110}",
                Lab.route("book", "non_idempotent", TIMEOUT_MS, "dispatch-desk", 1, false),
                Lab.route("read", "idempotent", 5000, "dispatch-desk", 2, false));
        for (int i = 0; i < 3; i++) {
            Lab.register(store, new Runner("i-" + i, Lab.host + (10 + i), this::answer), "dispatch-desk", 6, 1000 + i);
        }
        Front front = new Front("front-valle-a-1", Lab.host + "2", "valle-a", store, folder);
        front.start();
        for (int i = 0; i < CONSUMERS; i++) {
            int number = i;
            Lab.daemon(() -> book(front, number));
        }
        Thread.sleep(3000);
        Lab.log("bookings served before: " + served);
        int bytes = Lab.isTroubled ? BODY_BYTES : USUAL_BODY_BYTES;
        Lab.log(UPLOADS + " uploads of " + bytes + " bytes begin");
        for (int i = 0; i < UPLOADS; i++) {
            String id = String.format("u%08x", i);
            Lab.daemon(() -> upload(front, id, bytes));
        }
        for (int i = 1; i <= 12; i++) {
            Thread.sleep(5000);
            Lab.log(5 * i + " s after the uploads have begun: bookings served " + served + ", ready "
                    + front.isReady() + ", uploads answered " + uploaded + ", not answered " + notUploaded);
        }
        isOver.set(true);
        longestGapMs.accumulateAndGet((System.nanoTime() - lastServedNs.get()) / 1_000_000, Math::max);
        for (String line : front.logLines("OutOfMemory")) Lab.log("log of the front: " + line);
        Lab.say("bookings served " + served + ", failed with an answer " + failed + "; longest time without one served "
                + longestGapMs + " ms");
        Lab.say("bookings without an answer at the route's time-out: " + atTimeout + ", half a second later: "
                + halfASecondLater + ", of these run: " + ranWithoutAnswer);
        if (served.get() < 100) return 2;
        return atTimeout.get() >= FEWEST && halfASecondLater.get() * 2 > atTimeout.get() ? 1 : 0;
    }

    private boolean answer(Runner runner, Message request, Socket socket) throws IOException, InterruptedException {
        ran.add(request.get("x-medlarhook-attempt-id"));
        Thread.sleep(86);
        Runner.send(socket, runner.head(request, "200 OK") + "Content-Length: 800\r\n\r\n" + "y".repeat(800));
        return true;
    }

    /** A consumer that waits for each answer, and connects again after one that does not come. */
    private void book(Front front, int number) {
        Socket socket = null;
        for (int i = 0; !isOver.get(); i++) {
            String id = String.format("b%02x%06x", number, i);
            long sentNs = System.nanoTime();
            try {
                if (socket == null) {
                    socket = new Socket(front.host, front.callersPort);
                    sentNs = System.nanoTime();
                }
                socket.setSoTimeout(TIMEOUT_MS + 500);
                socket.getOutputStream().write(Lab.request("POST", "/book/1", id, 2000, "", "book " + id)
                        .getBytes(StandardCharsets.ISO_8859_1));
                Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
                long tookMs = (System.nanoTime() - sentNs) / 1_000_000;
                if (answer == null || !answer.isComplete) {
                    Lab.log("booking " + id + ": the connection ended after " + tookMs + " ms");
                    socket.close();
                    socket = null;
                    continue;
                }
                if (tookMs > TIMEOUT_MS) atTimeout.incrementAndGet();
                if (answer.status() == 200) {
                    served.incrementAndGet();
                    long beforeNs = lastServedNs.getAndSet(System.nanoTime());
                    if (beforeNs != 0) longestGapMs.accumulateAndGet((System.nanoTime() - beforeNs) / 1_000_000, Math::max);
                } else {
                    failed.incrementAndGet();
                }
                Thread.sleep(50);
            } catch (java.net.SocketTimeoutException late) {
                atTimeout.incrementAndGet();
                halfASecondLater.incrementAndGet();
                if (ran.contains(id)) ranWithoutAnswer.incrementAndGet();
                Lab.log("booking " + id + " has no answer " + (System.nanoTime() - sentNs) / 1_000_000
                        + " ms after it was sent" + (ran.contains(id) ? ", and has run" : ""));
                close(socket);
                socket = null;
            } catch (IOException | InterruptedException ended) {
                Lab.log("booking " + id + ": " + ended);
                close(socket);
                socket = null;
            }
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) socket.close();
        } catch (IOException closed) {
            // Nothing is left to close.
        }
    }

    private void upload(Front front, String id, int bytes) {
        byte[] part = new byte[bytes / STEPS];
        Arrays.fill(part, (byte) 'x');
        int rest = bytes - part.length * STEPS;
        try (Socket socket = new Socket(front.host, front.callersPort)) {
            socket.setSoTimeout(6000);
            String head = Lab.request("POST", "/read/1", id, 5000, "", "");
            socket.getOutputStream().write(head.replace("Content-Length: 0", "Content-Length: " + bytes)
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < STEPS; i++) {
                socket.getOutputStream().write(part);
                Thread.sleep(STEP_MS);
            }
            socket.getOutputStream().write(part, 0, rest);
            Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
            (answer == null ? notUploaded : uploaded).incrementAndGet();
        } catch (IOException | InterruptedException ended) {
            notUploaded.incrementAndGet();
        }
    }
}
