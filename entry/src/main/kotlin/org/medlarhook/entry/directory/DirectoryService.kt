package org.medlarhook.entry.directory

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import org.medlarhook.core.directory.DelayedWritePermit
import org.medlarhook.core.directory.DigestBuilder
import org.medlarhook.core.directory.DirectoryCompactor
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.core.directory.DirectoryReplica
import org.medlarhook.core.directory.FreshnessAuthorityPolicy
import org.medlarhook.core.directory.ReplicaAction
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.entry.operators.InForceCheck
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.VmDirectory
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.traffic.ControlTraffic
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** The directory in one entry: the replica, its peers, the change log and the entry's registration. */
internal class DirectoryService(
    private val settings: EntrySettings,
    tables: TableService,
    objects: ObjectStore,
    vms: VmDirectory,
    private val time: TimeSource,
    traffic: ControlTraffic,
    receiptHandler: ReceiptPageHandler,
) {
    private val replicaSettings = settings.directory.toReplicaSettings()
    private val registration = registrationOf(settings)
    private val registrar = EntryRegistrar(tables, registration)
    private val digests = DigestBuilder(replicaSettings)
    private val peers = PeerClient(replicaSettings.exchangeTimeoutMs, traffic.clientInterceptor)
    private val actionExecutor = ReplicaActionExecutor(DirectoryReader(tables, objects), registrar, vms, peers, digests)
    private val policy = FreshnessAuthorityPolicy(replicaSettings)
    private val replica: ReplicaRunner =
        ReplicaRunner(
            registration,
            DirectoryReplica(replicaSettings),
            DelayedWritePermit(replicaSettings),
            time,
            ::dispatch,
        )
    private val log = DirectoryLog(tables)
    private val permitCheckingAppender = PermitCheckingAppender(log, replica)
    private val compactor = DirectoryCompactor(tables, objects)
    private val eventLogger = DirectoryEventLogger()
    private val ticker = Executors.newSingleThreadScheduledExecutor { Thread(it, "directory-ticker") }
    private val workers = Executors.newFixedThreadPool(WORKER_THREADS) { Thread(it, "directory-worker") }
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(settings.peers.host, settings.peers.port))
            .permitKeepAliveTime(1, TimeUnit.SECONDS)
            .addStreamTracerFactory(traffic.serverTracer)
            .addService(PeerRpc(replica, digests, receiptHandler))
            .build()

    /** The id under which this entry is registered. Each start uses a new one. */
    val entryId: String = registration.entryId

    /** The directory that requests are checked against. */
    val view: DirectoryView = ReplicatedDirectory(policy) { replica.state }

    /** Appends operators' changes. */
    val appender: ChangeAppender get() = permitCheckingAppender

    /** Checks whether a version is in force at every entry. */
    val inForceCheck: InForceCheck = ReplicaInForceCheck(replica.arrivalTimes) { replica.state }

    /** The directory's section of the state dump. */
    val dump: StateDump = ReplicaDump(policy) { replica.state }

    /**
     * Opens the peers' listener, then registers this entry and starts polling the tables. Only one process can listen
     * on the address, so the open port is the lock on this address.
     */
    fun start() {
        server.start()
        ticker.scheduleWithFixedDelay(loggingFailures(::tick), 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS)
        ticker.scheduleWithFixedDelay({
            workers.execute(loggingFailures(::runMaintenance))
        }, MAINTENANCE_INTERVAL_MS, MAINTENANCE_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    /** Stops, and deletes the entry's row unless it never registered or a write is open whose outcome is unknown. */
    fun stop() {
        ticker.shutdownNow()
        server.shutdownNow()
        workers.shutdownNow()
        if (replica.isStarted && replica.state.reachability.openWrites == 0) registrar.deregister()
    }

    private fun tick() {
        if (!replica.isStarted && !register()) return
        replica.on(ReplicaEvent.Tick)
        val state = replica.state
        eventLogger.observe(state.directory.version, policy.decide(state, time.monotonicMs()))
    }

    private fun register(): Boolean {
        val failure = registrar.register().leftOrNull()
        if (failure == null) {
            replica.start()
            logger.event(LogEvent.ENTRY_REGISTERED, "entry" to registration.entryId)
        } else {
            logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "register", "failure" to "$failure")
            Thread.sleep(REGISTER_RETRY_DELAY_MS)
        }
        return failure == null
    }

    /** Resolves writes of unknown outcome, and writes snapshots and trims the log so that the log stays short. */
    private fun runMaintenance() {
        permitCheckingAppender.settle()
        val state = replica.state
        if (!state.reachability.lastReadOk || state.directory.version < DirectoryCompactor.SNAPSHOT_INTERVAL) return
        log.head().onRight { head -> if (compactor.isDue(state.directory, head)) compactor.snapshot(state.directory) }
        compactor.trim()
    }

    private fun dispatch(action: ReplicaAction) {
        if (!workers.isShutdown) workers.execute(loggingFailures { actionExecutor.perform(action, replica) })
    }

    /** Logs an exception of [task]: an executor would cancel the later runs of a periodic task that throws. */
    private fun loggingFailures(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: RuntimeException) {
                logger.error(e) { "a directory task failed; periodic tasks run again after their interval" }
            }
        }

    private companion object {
        const val TICK_INTERVAL_MS = 50L
        const val MAINTENANCE_INTERVAL_MS = 1_000L
        const val REGISTER_RETRY_DELAY_MS = 500L
        const val WORKER_THREADS = 8

        fun registrationOf(settings: EntrySettings): EntryRegistration {
            val nonce = java.util.UUID.randomUUID().toString().take(NONCE_LENGTH)
            return EntryRegistration(
                entryId = "${settings.entryId}.$nonce",
                vmId = settings.vmId,
                dataCentre = settings.dataCentre,
                region = settings.region,
                peerAddress = "${settings.peers.host}:${settings.peers.port}",
                startNonce = nonce,
            )
        }

        const val NONCE_LENGTH = 8
    }
}
