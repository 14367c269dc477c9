package org.medlarhook.sidecar

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.platform.SystemTimeSource
import org.medlarhook.protocol.UpstreamRole
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.runtime.operators.OperatorsListener
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.platform.HttpTableService
import org.medlarhook.runtime.platform.PlatformHttp
import org.medlarhook.runtime.settings.SidecarSettings
import org.medlarhook.sidecar.engine.HttpEngineAdapter
import org.medlarhook.sidecar.registration.SidecarRegistrar
import org.medlarhook.sidecar.rpc.SidecarRpc
import org.medlarhook.sidecar.service.ServiceAdapter
import java.net.InetSocketAddress

private val logger = KotlinLogging.logger {}

/** One sidecar process: the only door to its upstream. */
public class Sidecar(
    private val settings: SidecarSettings,
) {
    /** Registers, opens the listeners, and blocks until the process is stopped. */
    public fun run() {
        val tables = HttpTableService(PlatformHttp(settings.platform.url, settings.platform.callTimeoutMs))
        val registration = register(SidecarRegistrar(settings, tables))
        val server = startRpc(registration)
        val operators = OperatorsListener(settings.operators, SystemTimeSource, { true }, dumps(registration))
        operators.start()
        logger.event(LogEvent.PROCESS_STARTED, "role" to "sidecar", "upstream" to settings.upstreamId)
        Runtime.getRuntime().addShutdownHook(Thread { server.shutdown() })
        server.awaitTermination()
    }

    private fun register(registrar: SidecarRegistrar): UpstreamRegistration {
        while (true) {
            return registrar.register().getOrElse { failure ->
                logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "failure" to failure.toString())
                Thread.sleep(REGISTER_RETRY_MS)
                null
            } ?: continue
        }
    }

    private fun startRpc(registration: UpstreamRegistration): Server {
        val rpc =
            SidecarRpc(
                incarnation = registration.incarnation,
                status = { status(registration) },
                engine = settings.engine?.let { HttpEngineAdapter(it) },
                service = settings.service?.let { ServiceAdapter(it) },
            )
        return NettyServerBuilder
            .forAddress(InetSocketAddress(settings.entries.host, settings.entries.port))
            .addService(rpc)
            .build()
            .start()
    }

    private fun status(registration: UpstreamRegistration): UpstreamStatus =
        UpstreamStatus
            .newBuilder()
            .setUpstreamId(settings.upstreamId)
            .setIncarnation(registration.incarnation)
            .setRole(if (settings.engine != null) UpstreamRole.MIXED else UpstreamRole.SERVICE)
            .setAccepting(true)
            .build()

    private fun dumps(registration: UpstreamRegistration): Map<String, StateDump> =
        mapOf(
            "sidecar" to
                StateDump {
                    JsonObject(
                        mapOf(
                            "upstreamId" to JsonPrimitive(registration.upstreamId),
                            "incarnation" to JsonPrimitive(registration.incarnation),
                        ),
                    )
                },
        )

    private companion object {
        const val REGISTER_RETRY_MS = 500L
    }
}
