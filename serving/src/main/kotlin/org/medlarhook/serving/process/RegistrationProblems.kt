package org.medlarhook.serving.process

import org.medlarhook.core.serving.fleet.RegistryUpdate

/** Remembers which registrations can't be read, so that each is reported when it is found or changes. */
internal class RegistrationProblems {
    private val causeById = LinkedHashMap<String, String>()

    /** Returns the unreadable registrations of [read] that were not unreadable before, or for another cause. */
    fun observe(read: RegistryRead): List<UnreadableRegistration> {
        val unreadableIds = read.unreadable.map { it.id }.toSet()
        when (val update = read.update) {
            is RegistryUpdate.Listing -> causeById.keys.retainAll(unreadableIds)
            is RegistryUpdate.Changes ->
                causeById.keys.removeAll(update.changes.map { it.id }.toSet() - unreadableIds)
            is RegistryUpdate.Unreachable -> Unit
        }
        return read.unreadable.filter { causeById.put(it.id, it.cause) != it.cause }.also { dropOldest() }
    }

    private fun dropOldest() {
        while (causeById.size > MAX_REMEMBERED) causeById.remove(causeById.keys.first())
    }

    private companion object {
        const val MAX_REMEMBERED = 1_000
    }
}
