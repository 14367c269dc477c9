package org.medlarhook.entry.directory

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** Logs new versions of the directory, and when this entry starts or stops serving keyed routes. Not thread-safe. */
internal class DirectoryEventLogger {
    private var version = 0L
    private var isServing = false

    /** Compares [newVersion] and [decision] with the last call, and logs what changed. */
    fun observe(newVersion: Long, decision: AuthorityDecision) {
        if (newVersion > version) logger.event(LogEvent.DIRECTORY_ADVANCED, "version" to newVersion)
        version = newVersion
        when (decision) {
            is AuthorityDecision.Serve -> if (!isServing) {
                logger.event(
                    LogEvent.AUTHORITY_GAINED,
                    "basis" to decision.basis,
                )
            }
            is AuthorityDecision.Refuse ->
                if (isServing) logger.warnEvent(LogEvent.AUTHORITY_LOST, "waiting_for" to decision.waitingFor)
        }
        isServing = decision is AuthorityDecision.Serve
    }
}
