package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** Reads the deadline header. */
internal object Deadlines {
    private const val MAX_DIGITS = 9

    /** Milliseconds until the deadline: the header's value up to [maxMs], or [defaultMs] without a header. */
    fun read(header: String?, defaultMs: Long, maxMs: Long): Either<Failure, Long> {
        val text = header ?: return minOf(defaultMs, maxMs).right()
        val isNumber = text.length in 1..MAX_DIGITS && text.all { it in '0'..'9' }
        val valueMs = if (isNumber) text.toLong() else 0
        if (valueMs <= 0) return Failure(ResultCode.BAD_DEADLINE, RunState.NOT_RUN).left()
        return minOf(valueMs, maxMs).right()
    }
}
