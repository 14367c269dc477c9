package org.medlarhook.entry

import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.admission.AdmitAll
import org.medlarhook.core.admission.DeadlineAdmission
import org.medlarhook.core.call.CallRetryBudget
import org.medlarhook.core.retry.RetryBudget
import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.entry.call.CallMetrics
import org.medlarhook.entry.call.CallServices
import org.medlarhook.entry.call.OpenRequests
import org.medlarhook.entry.call.SharedRetryBudget
import org.medlarhook.entry.claim.ClaimCleaner
import org.medlarhook.entry.claim.ClaimCodec
import org.medlarhook.entry.claim.GroupedClaimStore
import org.medlarhook.entry.control.ReceiptCopyingClient
import org.medlarhook.entry.directory.DirectoryView
import org.medlarhook.entry.http.CallerAuthorizer
import org.medlarhook.entry.http.CallersListener
import org.medlarhook.entry.http.ChatHandler
import org.medlarhook.entry.http.DrainState
import org.medlarhook.entry.http.ModelsHandler
import org.medlarhook.entry.http.RequestOutcomeRecorder
import org.medlarhook.entry.http.ServiceHandler
import org.medlarhook.entry.routing.LoadWatchListener
import org.medlarhook.entry.routing.PolicyChooser
import org.medlarhook.entry.routing.UpstreamChooser
import org.medlarhook.entry.routing.UpstreamLoads
import org.medlarhook.entry.upstream.GrpcSidecarClient
import org.medlarhook.entry.upstream.LoggedWatchListener
import org.medlarhook.entry.upstream.PlainChannelFactory
import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.entry.upstream.UpstreamPool
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.Receipt
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.settings.RoutingSettings
import org.medlarhook.runtime.traffic.ControlTraffic
import java.util.concurrent.ScheduledExecutorService
import kotlin.random.Random

/** The components that handle a request: the callers' listener, routing, claims, retries and upstream connections. */
internal class RequestPipeline(
    private val settings: EntrySettings,
    private val tables: TableService,
    objects: ObjectStore,
    private val directory: DirectoryView,
    private val time: TimeSource,
    private val scheduler: ScheduledExecutorService,
    private val registry: () -> MeterRegistry,
    traffic: ControlTraffic = ControlTraffic(registry()),
    private val retryBudget: CallRetryBudget = SharedRetryBudget(RetryBudget(settings.routing.retryRatio)),
    private val addReceiptCopy: (dataCentre: String, receipt: Receipt) -> Unit = { _, _ -> },
) {
    private val loads = UpstreamLoads(settings.routing.defaultSpeed())
    private val workers = NioEventLoopGroup(settings.calls.workers)
    private val codec = ClaimCodec(objects, settings.claims.maxInlineBodyBytes)
    private val claims = GroupedClaimStore(tables, codec, time, settings.claims)
    private val cleaner = ClaimCleaner(tables, codec, settings.claims.retentionMs)

    /** The requests that are not answered yet. */
    val openRequests = OpenRequests()

    /** Whether this entry accepts requests. */
    val drainState = DrainState { directory.isReady }

    /** The upstreams with their connections. */
    val pool =
        UpstreamPool(
            entryId = settings.entryId,
            tables = tables,
            channels = PlainChannelFactory(workers, traffic.clientInterceptor),
            time = time,
            heartbeatTimeoutMs = settings.calls.heartbeatTimeoutMs,
            listener = LoadWatchListener(loads, time, LoggedWatchListener),
        )

    private val listener: CallersListener by lazy { callersListener() }

    /** The port of the callers' listener. */
    val port: Int
        get() = listener.port

    /** Starts the periodic tasks through [every] and opens the listener. */
    fun start(every: (intervalMs: Long, task: () -> Unit) -> Unit) {
        claims.start()
        every(POLL_INTERVAL_MS) { pool.poll() }
        every(CHECK_INTERVAL_MS) { pool.check(time.monotonicMs()) }
        every(settings.calls.tickMs) { openRequests.tick(time.monotonicMs()) }
        every(settings.claims.sweepIntervalMs) { cleaner.sweep(time.wallMs()) }
        listener.start()
    }

    /**
     * Waits for open requests, gives those that still run at the end of the drain their final answer, and closes
     * everything. Returns true if all requests finished in time.
     */
    fun stop(): Boolean {
        val isFinished = Shutdown(settings.shutdown, drainState, openRequests, time).drain()
        openRequests.cutOff()
        listener.stop()
        claims.close()
        pool.close()
        workers.shutdownGracefully()
        return isFinished
    }

    /** The sections of the state dump, by name. */
    fun dumps(): Map<String, StateDump> =
        mapOf(
            "requests" to openRequests,
            "upstreams" to StateDump { JsonObject(mapOf("links" to JsonArray(pool.links().map(::dump)))) },
        )

    private fun callersListener(): CallersListener {
        val metrics = CallMetrics(registry())
        val services =
            CallServices(
                directory = directory,
                pool = pool,
                chooser = chooser(),
                loads = loads,
                client = ReceiptCopyingClient(GrpcSidecarClient(), addReceiptCopy),
                claims = claims,
                retryBudget = retryBudget,
                time = time,
                settings = settings.calls,
                openRequests = openRequests,
                metrics = metrics,
            )
        val authorizer = CallerAuthorizer(directory)
        val outcomeRecorder = RequestOutcomeRecorder(metrics, time)
        val maxDeadlineMs = settings.limits.maxDeadlineMs
        val handlers =
            CallersListener.Handlers(
                authorizer = authorizer,
                chat = ChatHandler(services, authorizer, outcomeRecorder, drainState, maxDeadlineMs),
                services = ServiceHandler(services, authorizer, outcomeRecorder, drainState, maxDeadlineMs),
                models = ModelsHandler(directory, authorizer),
            )
        return CallersListener(settings, time, scheduler, drainState, handlers)
    }

    private fun chooser(): UpstreamChooser {
        val routing = settings.routing
        val admission = if (routing.admission) DeadlineAdmission(routing.admissionSlack) else AdmitAll
        val policy = routing.policy.create(Random(settings.entryId.hashCode()), settings.region)
        return PolicyChooser(policy, admission, loads, settings.region, routing)
    }

    private fun RoutingSettings.defaultSpeed() = EngineSpeed(prefillTokensPerS, decodeTokensPerS, slots)

    private fun dump(link: UpstreamLink): JsonObject =
        JsonObject(
            mapOf(
                "upstreamId" to JsonPrimitive(link.registration.upstreamId),
                "incarnation" to JsonPrimitive(link.registration.incarnation),
                "address" to JsonPrimitive(link.registration.address),
                "accepting" to JsonPrimitive(link.isAccepting),
                "connected" to JsonPrimitive(link.isReady),
                "outstanding" to JsonPrimitive(link.outstanding.get()),
            ),
        )

    private companion object {
        const val POLL_INTERVAL_MS = 1_000L
        const val CHECK_INTERVAL_MS = 100L
    }
}
