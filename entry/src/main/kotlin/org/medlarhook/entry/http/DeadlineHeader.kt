package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** Parses the deadline header. */
internal object DeadlineHeader {
    private const val MAX_DIGITS = 9

    /** Returns the milliseconds until the deadline: the header's value, or [defaultMs] without one, at most [maxMs]. */
    fun parse(header: String?, defaultMs: Long, maxMs: Long): Either<Failure, Long> {
        val text = header ?: return minOf(defaultMs, maxMs).right()
        val isNumber = text.length in 1..MAX_DIGITS && text.all { it in '0'..'9' }
        val valueMs = if (isNumber) text.toLong() else 0
        if (valueMs <= 0) return Failure(ResultCode.BAD_DEADLINE, RunState.NOT_RUN).left()
        return minOf(valueMs, maxMs).right()
    }
}
