package org.medlarhook.harness.capacity

import org.medlarhook.harness.ManagedProcess
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText

/** Samples the resource use of a JVM process from `/proc`, from its metrics, and with the JDK's `jcmd`. */
internal class ProcessSampler(
    private val metricsClient: MetricsClient = MetricsClient(),
) {
    /** Runs a full garbage collection in [process] and samples it; [operatorsUrl] is its HTTP server for operators. */
    fun sample(process: ManagedProcess, operatorsUrl: String): ProcessSample {
        val metrics = metricsClient.read(operatorsUrl)
        return ProcessSample(
            cpuMs = cpuMs(process.pid),
            residentKb = residentKb(process.pid),
            heapKb = heapKb(process.pid),
            controlBytes = metrics["medlarhook_control_bytes_total"] ?: 0.0,
            controlMessages = metrics["medlarhook_control_messages_total"] ?: 0.0,
        )
    }

    private fun cpuMs(pid: Long): Double {
        val afterName = Path.of("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
        val ticks = afterName[USER_TICKS_FIELD].toLong() + afterName[SYSTEM_TICKS_FIELD].toLong()
        return ticks * MS_PER_TICK
    }

    private fun residentKb(pid: Long): Double =
        Path
            .of("/proc/$pid/status")
            .readLines()
            .first { it.startsWith("VmRSS:") }
            .split(Regex("\\s+"))[1]
            .toDouble()

    private fun heapKb(pid: Long): Double {
        jcmd(pid, "GC.run")
        return USED_HEAP
            .findAll(jcmd(pid, "GC.heap_info"))
            .filterNot { "Metaspace" in it.value || "class space" in it.value }
            .sumOf { it.groupValues[2].toDouble() }
    }

    private fun jcmd(pid: Long, command: String): String {
        val process = ProcessBuilder("jcmd", pid.toString(), command).redirectErrorStream(true).start()
        return process.inputStream.bufferedReader().readText().also { process.waitFor() }
    }

    private companion object {
        const val USER_TICKS_FIELD = 11
        const val SYSTEM_TICKS_FIELD = 12
        const val MS_PER_TICK = 10.0
        val USED_HEAP = Regex("(generation|heap|Metaspace|class space)[^\\n]*used (\\d+)K")
    }
}
