package org.medlarhook.entry.claim

import arrow.core.Either
import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimWriteResult
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.settings.ClaimSettings
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * Writes the claims of many requests in one transaction every few milliseconds.
 *
 * A row whose condition fails is removed from the group, and the other rows are written without it. If a transaction
 * fails because the tables do not answer, all queued writes fail at once with [ClaimWriteResult.Unavailable].
 */
internal class GroupedClaimStore(
    private val tables: TableService,
    private val codec: ClaimCodec,
    private val time: TimeSource,
    private val settings: ClaimSettings,
) : ClaimStore,
    AutoCloseable {
    private val queue = LinkedBlockingQueue<PendingWrite>(settings.maxQueued)
    private val readers = Executors.newFixedThreadPool(READER_THREADS) { daemonThread(it, "claim-reader") }
    private val writer = daemonThread({ writeUntilClosed() }, "claim-writer")

    @Volatile
    private var isClosed = false

    /** Starts the writer thread. */
    fun start() {
        writer.start()
    }

    override fun write(
        key: ClaimKey,
        claim: Claim,
        expectedVersion: Long,
        done: (ClaimWriteResult) -> Unit,
    ) {
        val pending = PendingWrite(key, claim, expectedVersion, done)
        if (isClosed || !queue.offer(pending)) done(ClaimWriteResult.Unavailable)
    }

    override fun read(key: ClaimKey, done: (ClaimReadResult) -> Unit) {
        readers.execute { done(readNow(key)) }
    }

    override fun close() {
        isClosed = true
        writer.interrupt()
        readers.shutdown()
    }

    private fun readNow(key: ClaimKey): ClaimReadResult =
        when (val row = tables.read(key.row())) {
            is Either.Left -> ClaimReadResult.Failed
            is Either.Right -> {
                val value = row.value
                if (value == null) {
                    ClaimReadResult.Found(null)
                } else {
                    codec.decode(value).fold({ ClaimReadResult.Failed }, { ClaimReadResult.Found(it) })
                }
            }
        }

    private fun writeUntilClosed() {
        try {
            while (!isClosed) {
                val first = queue.poll(POLL_MS, TimeUnit.MILLISECONDS) ?: continue
                Thread.sleep(settings.groupWaitMs)
                writeGroup(nextGroup(first))
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
        failQueued()
    }

    /**
     * Returns [first] and the queued writes after it, up to the maximum group size or the first write of a row that is
     * already in the group.
     */
    private fun nextGroup(first: PendingWrite): List<PendingWrite> {
        val group = LinkedHashMap(mapOf(first.row to first))
        while (group.size < settings.maxGroupSize) {
            val next = queue.peek()?.takeUnless { it.row in group } ?: break
            queue.remove(next)
            group[next.row] = next
        }
        return group.values.toList()
    }

    /** Writes [group]. Internal so that tests can call it without the writer thread. */
    internal fun writeGroup(group: List<PendingWrite>) {
        val encoded = group.mapNotNull { pending -> encode(pending)?.let { pending to it } }
        if (encoded.isEmpty()) return
        when (val failure = transact(encoded)) {
            null -> Unit
            is TableFailure.Conflict -> retryWithoutConflicts(encoded, failure)
            is TableFailure.Unavailable -> {
                encoded.forEach { (pending, _) -> pending.done(ClaimWriteResult.Unavailable) }
                failQueued()
            }
            is TableFailure.OutcomeUnknown -> {
                encoded.forEach { (pending, _) -> pending.done(ClaimWriteResult.Unknown) }
                failQueued()
            }
        }
    }

    private fun encode(pending: PendingWrite): Write? =
        codec.encode(pending.claim, time.wallMs()).fold(
            ifLeft = { null.also { pending.done(ClaimWriteResult.Unavailable) } },
            ifRight = { pending.write(it) },
        )

    /** Commits [group] and reports success to each writer, or returns the failure without reporting it. */
    private fun transact(group: List<Pair<PendingWrite, Write>>): TableFailure? {
        val transaction = Transaction(group.map { it.first.condition }, group.map { it.second })
        return when (val result = tables.transact(transaction)) {
            is Either.Left -> result.value
            is Either.Right -> {
                group.forEach { (pending, _) -> pending.done(ClaimWriteResult.Written(result.value.version)) }
                null
            }
        }
    }

    private fun retryWithoutConflicts(group: List<Pair<PendingWrite, Write>>, conflict: TableFailure.Conflict) {
        val currentByRow = conflict.current.associateBy { it.key }
        val (failed, others) = group.partition { (pending, _) -> pending.row in currentByRow }
        failed.forEach { (pending, _) ->
            val current = codec.decode(currentByRow.getValue(pending.row))
            pending.done(current.fold({ ClaimWriteResult.Unknown }, { ClaimWriteResult.Refused(it) }))
        }
        when {
            failed.isNotEmpty() -> writeGroup(others.map { it.first })
            group.size == 1 -> group.single().first.done(ClaimWriteResult.Refused(null))
            else -> group.forEach { (pending, _) -> writeGroup(listOf(pending)) }
        }
    }

    private fun failQueued() {
        generateSequence { queue.poll() }.forEach { it.done(ClaimWriteResult.Unavailable) }
    }

    private fun daemonThread(task: Runnable, name: String) = Thread(task, name).apply { isDaemon = true }

    private companion object {
        const val READER_THREADS = 2
        const val POLL_MS = 500L
    }
}
