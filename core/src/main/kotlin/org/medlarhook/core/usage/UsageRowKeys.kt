package org.medlarhook.core.usage

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/** Keys of the rows that hold the usage of one shard. */
internal class UsageRowKeys(
    private val shard: String,
) {
    val prefix: String = "$shard/"
    val head: RowKey = RowKey(TableNames.USAGE_BATCH, "$shard/head")

    fun batch(number: Long): RowKey = RowKey(TableNames.USAGE_BATCH, prefix + pad(number))

    fun window(startMs: Long): RowKey = RowKey(TableNames.USAGE_WINDOW, prefix + pad(startMs))

    fun beforeBatch(number: Long): String = prefix + pad(number - 1)

    private fun pad(number: Long): String = number.toString().padStart(NUMBER_DIGITS, '0')

    private companion object {
        const val NUMBER_DIGITS = 19
    }
}
