package org.medlarhook.sidecar.registration

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import kotlin.random.Random

/** Registers until it succeeds, with growing and jittered pauses. */
internal class RegistrationLoop(
    private val registrar: SidecarRegistrar,
    private val isStopping: () -> Boolean,
    private val random: Random = Random.Default,
) {
    private val logger = KotlinLogging.logger {}

    /** Blocks until the row is written; null if the process stops before. */
    fun run(): UpstreamRegistration? {
        var pauseMs = FIRST_PAUSE_MS
        while (!isStopping()) {
            when (val result = registrar.register()) {
                is Either.Right -> return result.value
                is Either.Left -> logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "failure" to result.value.toString())
            }
            Thread.sleep(pauseMs / 2 + random.nextLong(pauseMs))
            pauseMs = minOf(pauseMs * 2, MAX_PAUSE_MS)
        }
        return null
    }

    private companion object {
        const val FIRST_PAUSE_MS = 100L
        const val MAX_PAUSE_MS = 4_000L
    }
}
