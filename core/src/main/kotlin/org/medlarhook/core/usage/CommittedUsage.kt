package org.medlarhook.core.usage

import org.medlarhook.ports.UsageLine
import org.medlarhook.ports.UsageReport

/**
 * The committed usage of a shard.
 *
 * @property amounts the amounts of the windows that are not frozen.
 * @property progress the receipts that are already counted, by source.
 * @property floors the lowest incarnation of each upstream whose receipts are still accepted.
 */
public data class CommittedUsage(
    val head: UsageHeadRow,
    val amounts: Map<UsageKey, UsageAmount> = emptyMap(),
    val progress: Map<ReceiptSource, SourceProgress> = emptyMap(),
    val floors: Map<String, Long> = emptyMap(),
) {
    /** Returns a batch with those of [receipts] that are not counted yet. */
    public fun batchOf(receipts: List<UsageReceipt>, wallMs: Long, settings: UsageSettings): UsageBatchRow {
        val uncounted = receipts.distinctBy { it.source to it.sequence }.filterNot { isCounted(it) }
        val amounts =
            uncounted
                .groupBy { keyOf(it, wallMs, settings) }
                .map { (key, group) -> BatchAmount(key, group.map { it.amount() }.reduce(UsageAmount::plus)) }
        val progress =
            uncounted
                .groupBy({ it.source }, { it.sequence })
                .map { (source, sequences) -> SourceProgress(source, committed(source) + sequences, wallMs) }
        return UsageBatchRow(amounts, progress)
    }

    /** Returns the committed usage after [batch], with the head row [next]. */
    public fun plus(batch: UsageBatchRow, next: UsageHeadRow): CommittedUsage {
        val sums = amounts.toMutableMap()
        batch.amounts.forEach { sums.merge(it.key, it.amount, UsageAmount::plus) }
        return copy(
            head = next,
            amounts = sums.filterKeys { it.windowStartMs >= next.openWindowStartMs },
            progress = progress + batch.progress.associateBy { it.source },
            floors = floors + batch.floors,
        )
    }

    /**
     * Returns one batch with the whole committed usage. A source that a newer incarnation has replaced, and that has
     * been idle for [UsageSettings.sourceRetentionMs] at [wallMs], is replaced by a floor.
     */
    public fun compacted(wallMs: Long, settings: UsageSettings): UsageBatchRow {
        val newest = progress.keys.groupBy({ it.upstreamId }, { it.incarnation }).mapValues { it.value.max() }
        val (expired, kept) =
            progress.values.partition {
                it.source.incarnation < newest.getValue(it.source.upstreamId) &&
                    it.lastSeenMs < wallMs - settings.sourceRetentionMs
            }
        val raised = floors.toMutableMap()
        expired.forEach { raised.merge(it.source.upstreamId, it.source.incarnation + 1, ::maxOf) }
        return UsageBatchRow(
            amounts = amounts.map { BatchAmount(it.key, it.value) },
            progress = kept.filter { it.source.incarnation >= (raised[it.source.upstreamId] ?: 0) },
            floors = raised,
        )
    }

    /** Returns the committed receipts of [source]. */
    public fun committed(source: ReceiptSource): SequenceSet = progress[source]?.committed ?: SequenceSet()

    /** Returns the report of the oldest window that is not frozen. */
    public fun report(shard: String, settings: UsageSettings): UsageReport {
        val startMs = head.openWindowStartMs
        val lines = amounts.filterKeys { it.windowStartMs == startMs }.map { (key, amount) -> lineOf(key, amount) }
        return UsageReport(
            reportId = "$shard/$startMs",
            shard = shard,
            windowStartMs = startMs,
            windowEndMs = startMs + settings.windowMs,
            lines = lines.sortedWith(LINE_ORDER),
        )
    }

    private fun isCounted(receipt: UsageReceipt): Boolean =
        receipt.source.incarnation < (floors[receipt.source.upstreamId] ?: 0) ||
            receipt.sequence in committed(receipt.source)

    private fun keyOf(receipt: UsageReceipt, wallMs: Long, settings: UsageSettings): UsageKey {
        val openMs = head.openWindowStartMs
        val usedMs = minOf(settings.windowStart(receipt.finishedAtMs), settings.windowStart(wallMs))
        return UsageKey(
            windowStartMs = maxOf(usedMs, openMs),
            workspace = receipt.workspace,
            resource = receipt.resource,
            correctionOfWindowStartMs = usedMs.takeIf { it < openMs },
        )
    }

    private fun lineOf(key: UsageKey, amount: UsageAmount): UsageLine =
        UsageLine(
            workspace = key.workspace,
            resource = key.resource,
            promptTokens = amount.promptTokens,
            outputTokens = amount.outputTokens,
            serviceCalls = amount.serviceCalls,
            correctionOfWindowStartMs = key.correctionOfWindowStartMs,
        )

    private fun UsageReceipt.amount(): UsageAmount = UsageAmount(promptTokens, outputTokens, serviceCalls)

    private companion object {
        val LINE_ORDER: Comparator<UsageLine> =
            compareBy({ it.workspace }, { it.resource }, { it.correctionOfWindowStartMs ?: Long.MAX_VALUE })
    }
}
