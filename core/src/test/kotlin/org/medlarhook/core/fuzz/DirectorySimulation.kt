package org.medlarhook.core.fuzz

import arrow.core.Either
import org.medlarhook.core.directory.AppendFailure
import org.medlarhook.core.directory.DigestBuilder
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.KeyGrant
import org.medlarhook.core.directory.MapObjectStore
import org.medlarhook.core.directory.ReplicaAction
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.ListedVm
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import java.util.PriorityQueue
import java.util.Random

private typealias Append = (DirectoryLog, DirectoryChange) -> Either<AppendFailure, Long>

/** Simulates a few entries, the links between them, and the platform, in steps of [TICK_MS] of simulated time. */
class DirectorySimulation(
    private val rules: FuzzRules = FuzzRules(),
    entryCount: Int = 3,
    figures: FuzzFigures = FuzzFigures(),
) {
    var nowMs = 0L
    var platformDelayMs = 0L
    val entries = mutableListOf<FuzzEntry>()
    val oracle = FuzzOracle(this, figures)
    val tables: TableService = CommitRecorder(InMemoryTableService()) { oracle.onCommit(it, nowMs) }
    private val random = Random(1)
    val links = FuzzLinks(random)
    private val objects = MapObjectStore()
    private val digests = DigestBuilder(rules.settings)
    private val stoppedVms = mutableMapOf<String, Long>()
    private val queue = PriorityQueue<Due>(compareBy({ it.atMs }, { it.order }))
    private var order = 0L
    private var operations = 0

    private class Due(
        val atMs: Long,
        val order: Long,
        val run: () -> Unit,
    )

    init {
        repeat(entryCount) { start() }
        val grants = List(KEYS) { KeyGrant("k$it", "acme", "", "") }
        DirectoryLog(tables).append(DirectoryChange(1, "", 0, puts = grants + Workspace("acme"), nonce = "first"))
        run(WARM_UP_MS)
    }

    /** Returns one of the entries that have not stopped, by [index] modulo their number. */
    fun alive(index: Int): FuzzEntry = entries.filter { it.alive }.let { it[index % it.size] }

    fun start() {
        if (entries.count { it.alive } >= MAX_ENTRIES) return
        val entry = FuzzEntry(entries.size, rules, tables, objects, nowMs)
        val row = Write(RowKey(TableNames.ENTRY, entry.id), entry.id)
        entries += entry
        tables.transact(Transaction(emptyList(), listOf(row)))
    }

    /** Starts an entry that reaches the tables but no other entry. */
    fun startIsolated() {
        start()
        isolateFromPeers(entries.last())
    }

    /** Connects [entry] to the tables and cuts its links to all other entries. */
    fun isolateFromPeers(entry: FuzzEntry) {
        entry.tables.fault = TableFault.NONE
        entries.filter { it !== entry }.forEach { links.cutBoth(entry.id, it.id) }
    }

    fun kill(entry: FuzzEntry) {
        if (entries.count { it.alive } <= 2) return
        entry.alive = false
        stoppedVms[entry.vmId] = nowMs
    }

    /** Stops [entry] gracefully: it has no open write, and its row is deleted last. */
    fun stop(entry: FuzzEntry) {
        if (!entry.reachesTables || entry.state.reachability.openWrites > 0) return
        kill(entry)
        if (entry.alive) return
        tables.transact(Transaction(emptyList(), listOf(Write(RowKey(TableNames.ENTRY, entry.id), null))))
    }

    fun resumeAll() {
        entries.filter { it.alive && it.paused }.forEach { entry ->
            entry.paused = false
            oracle.check(nowMs)
            generateSequence { entry.deferred.removeFirstOrNull() }.forEach { it(nowMs) }
        }
    }

    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += TICK_MS
            generateSequence { queue.peek()?.takeIf { it.atMs <= nowMs }?.let { queue.poll() } }.forEach { it.run() }
            entries.filter { it.running }.forEach { perform(it, it.on(ReplicaEvent.Tick, nowMs)) }
            oracle.check(nowMs)
        }
    }

    /** Requests a withdrawal or another change from [entry] as an operator, and retries if refused. */
    fun requestChange(entry: FuzzEntry, withdraw: Boolean, retries: Int = MAX_RETRIES) {
        if (!entry.running) return
        val opened = rules.permit.open(entry.state, entry.clockMs(nowMs)).getOrNull()
        if (opened == null) {
            if (retries > 0) after(RETRY_MS) { requestChange(entry, withdraw, retries - 1) }
            return
        }
        entry.state = opened
        val number = ++operations
        val key = KeyGrant("k${number % KEYS}", "acme", "", "", withdrawn = true)
        val puts = listOf(if (withdraw) key else Workspace("w$number"))
        val change = DirectoryChange(
            entry.state.directory.version + 1,
            entry.id,
            0,
            comment = "op$number",
            puts = puts,
            nonce = "op$number",
        )
        write(entry, change, platformMs(), rules.append)
    }

    private fun write(entry: FuzzEntry, change: DirectoryChange, delayMs: Long, attempt: Append): Unit =
        after(delayMs) {
            oracle.writer = entry
            val result = attempt(DirectoryLog(entry.lossyTables), change)
            oracle.writer = null
            deliver(entry, platformMs()) { receivedMs ->
                val failure = result.leftOrNull()
                oracle.onResult(entry, change, result, receivedMs)
                if (failure is AppendFailure.OutcomeUnknown) {
                    write(entry, change, RETRY_MS, rules.settle)
                } else {
                    settle(entry, change.takeIf { failure == null }, receivedMs)
                }
            }
        }

    private fun settle(entry: FuzzEntry, written: DirectoryChange?, receivedMs: Long) =
        perform(entry, entry.on(ReplicaEvent.WriteSettled(written), receivedMs))

    private fun perform(entry: FuzzEntry, actions: List<ReplicaAction>): Unit = actions.forEach { perform(entry, it) }

    private fun perform(entry: FuzzEntry, action: ReplicaAction) {
        val sentMs = nowMs
        when (action) {
            is ReplicaAction.PollTables -> callPlatform(entry) {
                entry.reader.poll(action.version).fold(
                    { { ReplicaEvent.TablesFailed(entry.clockMs(sentMs)) } },
                    { page -> { at -> ReplicaEvent.TablesRead(counted(entry, sentMs, at), page) } },
                )
            }
            ReplicaAction.ReadEntries -> callPlatform(entry) {
                val rows = entry.tables.scan(TableNames.ENTRY).getOrNull() ?: return@callPlatform { ReplicaEvent.Tick }
                val found = rows.map { row -> entries.first { it.id == row.key.key }.registration }
                return@callPlatform { ReplicaEvent.EntriesRead(entry.clockMs(sentMs), found) }
            }
            ReplicaAction.ListVms -> callPlatform(entry) { listVms().let { { _ -> ReplicaEvent.VmsListed(it) } } }
            is ReplicaAction.ExchangeDigest -> exchange(entry, peer(action.peer.registration), sentMs)
            is ReplicaAction.FetchChanges -> fetch(entry, peer(action.peer.registration), action.version)
        }
    }

    private fun counted(entry: FuzzEntry, sentMs: Long, receivedMs: Long) =
        entry.clockMs(rules.countedFromMs(sentMs, receivedMs))

    private fun peer(registration: EntryRegistration) = entries.first { it.id == registration.entryId }

    private fun exchange(entry: FuzzEntry, peer: FuzzEntry, sentMs: Long) {
        val request = digests.build(entry.state, entry.clockMs(nowMs))
        send(entry, peer) { atMs ->
            perform(peer, peer.on(ReplicaEvent.PeerCalled(request), atMs))
            val answer = rules.received(digests.build(peer.state, peer.clockMs(atMs)))
            send(peer, entry) { receivedMs ->
                val event = ReplicaEvent.PeerAnswered(counted(entry, sentMs, receivedMs), answer)
                perform(entry, entry.on(event, receivedMs))
            }
        }
    }

    private fun fetch(entry: FuzzEntry, peer: FuzzEntry, version: Long) =
        send(entry, peer) {
            val changes = digests.changesAfter(peer.state, version, DirectoryLog.PAGE_LIMIT)
            send(peer, entry) { atMs -> perform(entry, entry.on(ReplicaEvent.ChangesFetched(changes), atMs)) }
        }

    private fun send(from: FuzzEntry, to: FuzzEntry, handle: (Long) -> Unit) =
        links.delaysMs(from.id, to.id).forEach { delayMs -> deliver(to, delayMs, handle) }

    private fun callPlatform(entry: FuzzEntry, call: () -> (Long) -> ReplicaEvent) =
        after(platformMs()) {
            val result = call()
            deliver(entry, platformMs()) { atMs -> perform(entry, entry.on(result(atMs), atMs)) }
        }

    private fun platformMs(): Long = if (platformDelayMs == 0L) 0 else random.nextLong(platformDelayMs)

    private fun listVms(): List<ListedVm> =
        entries
            .filter { entry -> stoppedVms[entry.vmId]?.let { nowMs - it < VM_LIST_LAG_MS } ?: true }
            .map { ListedVm(it.vmId, "dc", leaving = false) }

    private fun after(delayMs: Long, run: () -> Unit) {
        queue += Due(nowMs + delayMs, order++, run)
    }

    private fun deliver(entry: FuzzEntry, delayMs: Long, handle: (Long) -> Unit) =
        after(delayMs) {
            if (entry.paused) {
                entry.deferred += handle
            } else if (entry.alive) {
                handle(nowMs)
            }
        }

    companion object {
        const val TICK_MS = 100L
        private const val KEYS = 40
        private const val MAX_ENTRIES = 5
        private const val WARM_UP_MS = 6_000L
        private const val RETRY_MS = 400L
        private const val MAX_RETRIES = 10
        private const val VM_LIST_LAG_MS = 1_500L
    }
}
