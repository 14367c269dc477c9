package org.medlarhook.entry.directory

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** Logs when the directory advances, and when keyed routes stop or start being served. Used by one thread. */
internal class DirectoryEvents {
    private var version = 0L
    private var isServing = false

    /** Takes in the present state. */
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
