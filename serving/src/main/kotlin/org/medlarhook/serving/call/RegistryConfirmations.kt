package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.RegistryPosition

/**
 * Confirms for decisions that they know the registry as it is after they were asked for. Used on the event loop only.
 *
 * One read at a time serves all decisions that were asked for before it began, so that many of them cost few reads.
 *
 * @param knownTo up to where changes of the registry are known here, or null if that is not known.
 * @param onUnchanged called with a read that showed no change.
 * @param schedule runs a task after a delay in milliseconds.
 */
internal class RegistryConfirmations(
    private val knownTo: () -> RegistryPosition?,
    private val onUnchanged: (CheckedRegistry) -> Unit,
    private val schedule: (Long, () -> Unit) -> Unit,
) {
    private class Waiting(
        val onConfirmed: (Long?) -> Unit,
    ) {
        var isDone = false

        fun end(confirmedAtMs: Long?) {
            if (isDone) return
            isDone = true
            onConfirmed(confirmedAtMs)
        }
    }

    private class AwaitedChange(
        val read: CheckedRegistry,
        val waiting: List<Waiting>,
    )

    /** Reads the registry; null until the process has a store. */
    var check: RegistryCheck? = null

    private var asked = ArrayList<Waiting>()
    private var awaitedChanges = emptyList<AwaitedChange>()
    private var isReading = false
    private var isOverdue = false

    /**
     * Calls [onConfirmed] with the time at which a read began that shows the registry as it is known here, and that
     * began after this call; or with null if there is none within [TIMEOUT_MS], or at once while the store does not
     * answer.
     */
    fun confirm(onConfirmed: (Long?) -> Unit) {
        if (check == null || knownTo() == null || isOverdue) return onConfirmed(null)
        val waiting = Waiting(onConfirmed)
        asked += waiting
        schedule(TIMEOUT_MS) { timedOut(waiting) }
        readIfAsked()
    }

    private fun timedOut(waiting: Waiting) {
        if (waiting.isDone) return
        isOverdue = isReading
        waiting.end(null)
    }

    /** Confirms what waited for changes that are known now. */
    fun registryUpdated() {
        val (known, unknown) = awaitedChanges.partition { knownTo()?.covers(it.read.position) == true }
        awaitedChanges = unknown.filter { change -> change.waiting.any { !it.isDone } }
        known.forEach { change -> change.waiting.forEach { it.end(change.read.begunAtMs) } }
    }

    private fun readIfAsked() {
        asked.removeIf { it.isDone }
        val from = knownTo()
        if (isReading || asked.isEmpty()) return
        val waiting = asked
        asked = ArrayList()
        if (from == null) return waiting.forEach { it.end(null) }
        isReading = true
        check?.changesAfter(from) { read ->
            isReading = false
            isOverdue = false
            received(read, waiting)
            readIfAsked()
        }
    }

    private fun received(read: CheckedRegistry?, waiting: List<Waiting>) {
        val era = knownTo()?.era
        when {
            read == null || read.position.era != era -> waiting.forEach { it.end(null) }
            !read.hasChanged -> {
                onUnchanged(read)
                waiting.forEach { it.end(read.begunAtMs) }
            }
            else -> {
                awaitedChanges = awaitedChanges + AwaitedChange(read, waiting)
                registryUpdated()
            }
        }
    }

    private companion object {
        /** Some round trips to the store between regions; the caller waits meanwhile. */
        const val TIMEOUT_MS = 300L
    }
}
