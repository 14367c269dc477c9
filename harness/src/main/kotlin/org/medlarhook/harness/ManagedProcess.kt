package org.medlarhook.harness

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A process of a test fleet. Its standard output and standard error go to [logFile]. */
public class ManagedProcess private constructor(
    public val name: String,
    public val logFile: Path,
    private val process: Process,
) {
    /** The process id. */
    public val pid: Long = process.pid()

    /** True while the process runs. */
    public val isAlive: Boolean
        get() = process.isAlive

    /** The exit status, or null while the process runs. */
    public val exitCode: Int?
        get() = if (process.isAlive) null else process.exitValue()

    /** Waits up to [timeoutMs] for the process to end by itself; returns true if it has ended. */
    public fun awaitExit(timeoutMs: Long): Boolean = process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)

    /** Sends SIGTERM, which requests a graceful shutdown, without waiting. */
    public fun requestStop(): Unit = process.destroy()

    /** Sends SIGTERM and waits up to [timeoutMs] for a graceful shutdown; returns true if the process has ended. */
    public fun terminate(timeoutMs: Long = STOP_TIMEOUT_MS): Boolean {
        process.destroy()
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)
    }

    /** Kills the process (SIGKILL) and waits for its end. */
    public fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Suspends the process (SIGSTOP) until [resume]. */
    public fun pause(): Unit = signal("-STOP")

    /** Resumes a paused process (SIGCONT). */
    public fun resume(): Unit = signal("-CONT")

    private fun signal(signal: String) {
        ProcessBuilder("kill", signal, pid.toString()).start().waitFor()
    }

    public companion object {
        private const val STOP_TIMEOUT_MS = 30_000L

        /** Starts [command]; its output is appended to `<name>.log` in [logDirectory]. */
        public fun start(name: String, command: List<String>, logDirectory: Path): ManagedProcess {
            val logFile = logDirectory.resolve("$name.log")
            val process =
                ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                    .start()
            return ManagedProcess(name, logFile, process)
        }
    }
}
