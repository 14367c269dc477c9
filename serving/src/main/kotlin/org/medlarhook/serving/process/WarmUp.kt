package org.medlarhook.serving.process

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.config.Route
import org.medlarhook.core.serving.config.RouteTable
import org.medlarhook.core.serving.config.ServiceSpec
import org.medlarhook.core.serving.config.ServingConfig
import org.medlarhook.core.serving.config.WeightedService
import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.CallFormat
import org.medlarhook.serving.call.RequestLog
import org.medlarhook.serving.call.ServingLoop
import org.medlarhook.serving.http.CallerConnections
import org.medlarhook.serving.http.CallerListener
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Sends sample requests through a separate instance of the request path before callers are accepted.
 *
 * A process that starts under load would otherwise answer its first requests from interpreted code, several times
 * more slowly than later ones, and would have a backlog for seconds.
 */
internal class WarmUp(
    private val group: EventLoopGroup,
    private val format: CallFormat,
    private val time: TimeSource,
    private val settings: ServingSettings,
    private val samples: SampleTraffic,
) {
    /** Serves samples for at most [TIMEOUT_MS] and returns their number. A failure only leaves code uncompiled. */
    fun run(): Int {
        val endAtMs = time.monotonicMs() + TIMEOUT_MS
        return ServerSocket(0, BACKLOG, LOOPBACK).use { upstream ->
            thread(name = "warm-up", isDaemon = true) { answerSamples(upstream) }
            val serving = separateLoop(upstream.localPort)
            val listener = CallerListener(group, serving, CallerConnections(serving))
            val port = listener.open(Endpoint(LOOPBACK.hostAddress, 0))
            try {
                sendSamples(port, endAtMs)
            } finally {
                listener.close()
                serving.loop.submit {
                    serving.updateRegistry(RegistryUpdate.Listing(emptyList()))
                }.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun separateLoop(upstreamPort: Int): ServingLoop {
        val log = RequestLog(SimpleMeterRegistry(), isQuiet = true)
        val serving = ServingLoop(group.next(), format, time, settings.bounds, settings.placer(), log)
        val upstream =
            Upstream(
                "warm-up",
                0,
                Endpoint(LOOPBACK.hostAddress, upstreamPort),
                SERVICE,
                settings.dataCentre,
                SLOTS,
                false,
                null,
                0,
            )
        serving.loop.submit {
            serving.configure(config())
            serving.updateRegistry(RegistryUpdate.Listing(listOf(upstream)))
        }.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        return serving
    }

    private fun config(): ServingConfig {
        val route =
            Route(
                name = "warm-up",
                host = samples.host,
                prefix = "/",
                kind = CallKind.STREAM,
                timeoutMs = TIMEOUT_MS,
                objectiveMs = TIMEOUT_MS,
                priority = 0,
                targets = listOf(WeightedService(SERVICE, 1)),
                maxAttempts = 1,
                isAnonymous = true,
                isResumable = true,
            )
        val services = persistentMapOf(SERVICE to ServiceSpec(SERVICE, SLOTS, null))
        return ServingConfig(1, RouteTable(listOf(route)), services, CallerConnections.DEFAULT_LIMITS, null)
    }

    private fun sendSamples(port: Int, endAtMs: Long): Int {
        var done = 0
        Socket(LOOPBACK, port).use { socket ->
            socket.soTimeout = TIMEOUT_MS.toInt()
            while (done < REQUESTS && time.monotonicMs() < endAtMs) {
                socket.getOutputStream().write(samples.request(done))
                if (!readMessage(socket.getInputStream())) break
                done++
            }
        }
        return done
    }

    private fun answerSamples(server: ServerSocket) {
        try {
            server.accept().use { socket ->
                var number = 0
                while (readMessage(socket.getInputStream())) socket.getOutputStream().write(samples.answer(number++))
            }
        } catch (_: IOException) {
            // The warm-up has ended and closed its sockets.
        }
    }

    /** Reads one message by its length or its chunks; returns false at the end of the connection. */
    private fun readMessage(input: InputStream): Boolean {
        var length = 0
        var isChunked = false
        while (true) {
            val line = readLine(input) ?: return false
            if (line.isEmpty()) break
            val value = line.substringAfter(':').trim()
            if (line.startsWith("content-length:", ignoreCase = true)) length = value.toInt()
            if (line.startsWith("transfer-encoding:", ignoreCase = true)) isChunked = true
        }
        if (isChunked) return readChunks(input)
        return input.readNBytes(length).size == length
    }

    private fun readChunks(input: InputStream): Boolean {
        while (true) {
            val size = readLine(input)?.toIntOrNull(HEX) ?: return false
            input.readNBytes(size)
            readLine(input)
            if (size == 0) return true
        }
    }

    private fun readLine(input: InputStream): String? {
        val text = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return text.trimEnd('\r').toString()
            text.append(byte.toChar())
        }
    }

    private companion object {
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
        const val SERVICE = "warm-up"
        const val SLOTS = 8
        const val BACKLOG = 4
        const val HEX = 16

        /** Enough for the JIT compiler to cover the whole request path. */
        const val REQUESTS = 250

        /** After a power failure callers already wait: a later start than this costs more than uncompiled code. */
        const val TIMEOUT_MS = 400L
    }
}
