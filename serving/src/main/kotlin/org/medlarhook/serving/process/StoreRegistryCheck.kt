package org.medlarhook.serving.process

import arrow.core.Either
import org.medlarhook.core.serving.fleet.RegistryPosition
import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.CheckedRegistry
import org.medlarhook.serving.call.RegistryCheck
import java.util.concurrent.Executor
import java.util.concurrent.Executors

/** Reads what has changed in the registry from the [store], beside the feed that waits for changes. */
internal class StoreRegistryCheck(
    private val store: ControlStore,
    private val era: StoreEra,
    private val time: TimeSource,
    private val loop: Executor,
) : RegistryCheck {
    private val reader = Executors.newSingleThreadExecutor { Thread(it, "check-registry").apply { isDaemon = true } }

    override fun changesAfter(from: RegistryPosition, onRead: (CheckedRegistry?) -> Unit) {
        reader.execute {
            val read = runCatching { read(from) }.getOrNull()
            loop.execute { onRead(read) }
        }
    }

    /** An answer of another era than that of [from] shows other changes than those after it. */
    private fun read(from: RegistryPosition): CheckedRegistry? {
        val begunAtMs = time.monotonicMs()
        val read = (store.awaitUpstreams(from.version, 0) as? Either.Right)?.value ?: return null
        val changes = read.update as? RegistryUpdate.Changes ?: return null
        if (era.current != from.era || read.position < from.version) return null
        return CheckedRegistry(begunAtMs, RegistryPosition(from.era, read.position), changes.changes.isNotEmpty())
    }
}
