package org.medlarhook.sidecar.registration

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import kotlin.random.Random

/** Retries the registration until it succeeds, with exponential back-off and jitter. */
internal class RegistrationLoop(
    private val registrar: SidecarRegistrar,
    private val isStopping: () -> Boolean,
    private val random: Random = Random.Default,
) {
    private val logger = KotlinLogging.logger {}

    /** Blocks until the registration row is written; null if the process stops first. */
    fun run(): UpstreamRegistration? {
        var backOffMs = INITIAL_BACK_OFF_MS
        while (!isStopping()) {
            when (val result = registrar.register()) {
                is Either.Right -> return result.value
                is Either.Left -> logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "failure" to result.value.toString())
            }
            Thread.sleep(backOffMs / 2 + random.nextLong(backOffMs))
            backOffMs = minOf(backOffMs * 2, MAX_BACK_OFF_MS)
        }
        return null
    }

    private companion object {
        const val INITIAL_BACK_OFF_MS = 100L
        const val MAX_BACK_OFF_MS = 4_000L
    }
}
