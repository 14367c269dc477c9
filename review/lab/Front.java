package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the command of the deploy file. */
final class Front {
    final Map<String, String> settings = new LinkedHashMap<>();
    final String host;
    final int callersPort;
    final int readyPort;
    private final Path file;
    private final Path log;
    Process process;

    /** Settings like those of DEPLOY.md's example. The metrics port of the deploy file is free at a host of its own. */
    Front(String node, String host, String zone, Store store, Path folder) throws IOException {
        this(node, host, zone, store.address(), folder);
    }

    Front(String node, String host, String zone, String storeAddress, Path folder) throws IOException {
        this.host = host;
        callersPort = freePort(host);
        readyPort = freePort(host);
        file = folder.resolve(node + ".conf");
        log = folder.resolve(node + ".log");
        int internal = freePort(host);
        String text = """
                node=%s
                role=front
                machine_class=front
                serves=front
                ip_address=%s
                zone=%s
                region=valle-central
                zones.valle-a=valle-central
                listen.front=%s:%d
                listen.ready=%s:%d
                internal_ports=%d,%d
                bootstrap=true
                limits.memory_mb=430
                heartbeat_ms=1200
                bounds.contact_ms=4000
                bounds.drain_ms=2500
                bounds.grace_s=8
                bounds.loss_slack_ms=200
                bounds.configuration_ms=2500
                bounds.revoke_partitioned=true
                bounds.revoke_ms=5000
                bounds.budget_ratio=0.2
                bounds.budget_window_s=10
                bounds.budget_slack=58
                bounds.require_fencing=false
                bounds.lease_ms=3000
                bounds.usage_window_s=5
                bounds.usage_late_s=10
                platform.address=%s
                cloud.address=%s
                """.formatted(node, host, zone, host, callersPort, host, readyPort, internal, internal,
                storeAddress, storeAddress);
        for (String line : text.split("\n")) settings.put(line.split("=", 2)[0], line.split("=", 2)[1]);
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, java.net.InetAddress.getByName(host))) {
            return probe.getLocalPort();
        }
    }

    /** Writes the settings file, whole at once. */
    void writeSettings() throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".new");
        StringBuilder text = new StringBuilder();
        settings.forEach((name, value) -> text.append(name).append('=').append(value).append('\n'));
        Files.writeString(next, text);
        Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the process and returns when it is ready. */
    void start() throws IOException, InterruptedException {
        launch();
        long untilNs = System.nanoTime() + 30_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > untilNs || !process.isAlive()) throw new IOException("the front is not ready");
            Thread.sleep(50);
        }
    }

    /** Starts the process. */
    void launch() throws IOException {
        writeSettings();
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no run command");
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(
                ProcessBuilder.Redirect.appendTo(log.toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("MEDLARHOOK_CONFIG", file.toString());
        process = builder.directory(new File(".")).start();
        Lab.started.add(process);
    }

    boolean isReady() {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create(
                    "http://" + host + ":" + readyPort + "/api/readiness").toURL().openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            return call.getResponseCode() == 200;
        } catch (IOException refused) {
            return false;
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("bash", "-c", "kill -" + name + " " + process.pid()).start().waitFor(5, TimeUnit.SECONDS);
    }

    /** The lines of the log that hold [text]. */
    List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log).stream().filter(it -> it.contains(text)).toList();
    }
}
