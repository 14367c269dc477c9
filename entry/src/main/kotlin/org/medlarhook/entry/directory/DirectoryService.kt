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
import org.medlarhook.entry.operators.InForceView
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

/** Everything about the directory in one entry: the replica, its peers, the log and the entry's own row. */
internal class DirectoryService(
    private val settings: EntrySettings,
    tables: TableService,
    objects: ObjectStore,
    vms: VmDirectory,
    private val time: TimeSource,
    traffic: ControlTraffic,
    receipts: ReceiptOffers,
) {
    private val replicaSettings = settings.directory.toReplicaSettings()
    private val self = registrationOf(settings)
    private val registrar = EntryRegistrar(tables, self)
    private val digests = DigestBuilder(replicaSettings)
    private val peers = PeerClient(replicaSettings.exchangeTimeoutMs, traffic.clientInterceptor)
    private val actions = ReplicaActions(DirectoryReader(tables, objects), registrar, vms, peers, digests)
    private val policy = FreshnessAuthorityPolicy(replicaSettings)
    private val replica: ReplicaRunner =
        ReplicaRunner(self, DirectoryReplica(replicaSettings), DelayedWritePermit(replicaSettings), time, ::dispatch)
    private val log = DirectoryLog(tables)
    private val guarded = GuardedAppender(log, replica)
    private val compactor = DirectoryCompactor(tables, objects)
    private val events = DirectoryEvents()
    private val ticker = Executors.newSingleThreadScheduledExecutor { Thread(it, "directory-ticker") }
    private val workers = Executors.newFixedThreadPool(WORKER_THREADS) { Thread(it, "directory-worker") }
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(settings.peers.host, settings.peers.port))
            .permitKeepAliveTime(1, TimeUnit.SECONDS)
            .addStreamTracerFactory(traffic.serverTracer)
            .addService(PeerRpc(replica, digests, receipts))
            .build()

    /** The name under which this entry is registered, new with each start. */
    val entryId: String = self.entryId

    /** What callers' requests are checked against. */
    val view: DirectoryView = ReplicatedDirectory(policy) { replica.state }

    /** Where operators' changes go. */
    val appender: ChangeAppender get() = guarded

    /** How far a version is in force. */
    val inForce: InForceView = WithdrawalView(replica.times) { replica.state }

    /** The state for the dump. */
    val dump: StateDump = ReplicaDump(policy) { replica.state }

    /** Opens the peers' listener, which is the lock on this address, and then registers and follows the tables. */
    fun start() {
        server.start()
        ticker.scheduleWithFixedDelay(guarded(::tick), 0, TICK_MS, TimeUnit.MILLISECONDS)
        ticker.scheduleWithFixedDelay({
            workers.execute(guarded(::maintain))
        }, MAINTAIN_MS, MAINTAIN_MS, TimeUnit.MILLISECONDS)
    }

    /** Deletes the entry's row and stops, unless a write of unknown outcome is open: then the row stays. */
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
        events.observe(state.directory.version, policy.decide(state, time.monotonicMs()))
    }

    private fun register(): Boolean {
        val failure = registrar.register().leftOrNull()
        if (failure == null) {
            replica.start()
            logger.event(LogEvent.ENTRY_REGISTERED, "entry" to self.entryId)
        } else {
            logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "register", "failure" to "$failure")
            Thread.sleep(REGISTER_PAUSE_MS)
        }
        return failure == null
    }

    /** Settles writes, and writes snapshots so that the log stays short. */
    private fun maintain() {
        guarded.settle()
        val state = replica.state
        if (!state.reachability.lastReadOk || state.directory.version < DirectoryCompactor.SNAPSHOT_INTERVAL) return
        log.head().onRight { head -> if (compactor.isDue(state.directory, head)) compactor.snapshot(state.directory) }
        compactor.trim()
    }

    private fun dispatch(action: ReplicaAction) {
        if (!workers.isShutdown) workers.execute(guarded { actions.perform(action, replica) })
    }

    /** A failing task must not end the loop that runs it. */
    private fun guarded(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: RuntimeException) {
                logger.error(e) { "a task of the directory failed" }
            }
        }

    private companion object {
        const val TICK_MS = 50L
        const val MAINTAIN_MS = 1_000L
        const val REGISTER_PAUSE_MS = 500L
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
