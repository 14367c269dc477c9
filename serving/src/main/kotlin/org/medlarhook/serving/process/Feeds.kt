package org.medlarhook.serving.process

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.serving.fleet.RegistryChange
import org.medlarhook.core.serving.fleet.RegistryPosition
import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.RegistryReading
import org.medlarhook.serving.call.ServingLoop

private val logger = KotlinLogging.logger {}

/** Keeps configuration and registry of a [ServingLoop] up to date from the store. */
internal class Feeds(
    private val store: ControlStore,
    private val era: StoreEra,
    private val serving: ServingLoop,
    private val time: TimeSource,
) {
    @Volatile
    private var clockGeneration = 0

    private val config = FeedFollower("config", time, era, ConfigFeed(), ConfigSink())
    private val registryFeed = RegistryFeed()
    private val registry = FeedFollower("registry", time, era, registryFeed, RegistrySink())

    fun start() {
        val check = StoreRegistryCheck(store, era, time, serving.loop)
        serving.loop.execute { serving.origins.confirmations.check = check }
        config.start()
        registry.start()
    }

    fun stop() {
        config.stop()
        registry.stop()
    }

    /** Runs [task] on the event loop and waits for its end, so that a failure reaches the follower. */
    private fun onLoop(task: () -> Unit) {
        serving.loop.submit(Runnable(task)).get()
    }

    private inner class ConfigFeed : FeedSource<ConfigRead> {
        override fun readAll(): Either<StoreFailure, ConfigRead> = store.readConfig()

        override fun await(position: Long, waitMs: Long) = store.awaitConfig(position, waitMs)

        override fun positionOf(read: ConfigRead): Long = read.position
    }

    private inner class ConfigSink : FeedSink<ConfigRead> {
        override fun clockGeneration(): Int = clockGeneration

        override fun received(read: ConfigRead, begunAtMs: Long, clockGeneration: Int) {
            onLoop {
                val config = read.config
                if (config != null && serving.configure(config)) {
                    logger.event(
                        LogEvent.CONFIG_IN_FORCE,
                        "version" to config.version,
                        "routes" to config.routes.routes.size,
                        "keys" to config.workspaceByKey?.size,
                    )
                }
                if (read.problem == null) {
                    serving.confirmConfig(begunAtMs, clockGeneration)
                } else {
                    logger.warnEvent(LogEvent.CONFIG_UNREADABLE, "cause" to read.problem)
                }
                this@Feeds.clockGeneration = serving.configFreshness.generation
            }
        }

        override fun unreachable() {
            serving.loop.execute { this@Feeds.clockGeneration = serving.configFreshness.generation }
        }

        override fun storeRestored() {
            serving.loop.execute { serving.storeRestored() }
        }
    }

    private inner class RegistryFeed : FeedSource<RegistryRead> {
        /** The era before the last read; its result is dropped if the era rises meanwhile. Null if none was known. */
        var eraBeforeRead: Long? = null
            private set

        override fun readAll(): Either<StoreFailure, RegistryRead> {
            eraBeforeRead = era.current
            return store.listUpstreams()
        }

        override fun await(position: Long, waitMs: Long): Either<StoreFailure, RegistryRead> {
            eraBeforeRead = era.current
            return store.awaitUpstreams(position, waitMs)
        }

        override fun positionOf(read: RegistryRead): Long = read.position
    }

    private inner class RegistrySink : FeedSink<RegistryRead> {
        private val problems = RegistrationProblems()

        override fun clockGeneration(): Int = 0

        override fun received(read: RegistryRead, begunAtMs: Long, clockGeneration: Int) {
            problems.observe(read).forEach {
                logger.warnEvent(LogEvent.REGISTRATION_UNREADABLE, "id" to it.id, "cause" to it.cause)
            }
            logUpdate(read.update)
            val position = registryFeed.eraBeforeRead?.let { RegistryPosition(it, read.position) }
            val reading = RegistryReading(begunAtMs, position)
            onLoop { serving.updateRegistry(read.update, reading) }
        }

        override fun unreachable() {
            serving.loop.execute { serving.updateRegistry(RegistryUpdate.Unreachable) }
        }

        /** A drill is an outage that ends with the next read: live upstreams whose rows are gone register again. */
        override fun storeRestored() = unreachable()

        private fun logUpdate(update: RegistryUpdate) {
            when (update) {
                is RegistryUpdate.Listing ->
                    logger.event(
                        LogEvent.REGISTRY_LISTED,
                        "upstreams" to
                            update.upstreams.map {
                                "${it.id}@${it.address} ${it.service} ${it.stage} ${it.softwareVersion}"
                            },
                    )
                is RegistryUpdate.Changes -> logChanges(update.latest)
                is RegistryUpdate.Unreachable -> Unit
            }
        }

        /** Names each upstream once, by its last change. */
        private fun logChanges(latest: Collection<RegistryChange>) {
            val written = latest.filterIsInstance<RegistryChange.Written>().map { it.upstream }
            val removedIds = latest.filterIsInstance<RegistryChange.Removed>().map { it.id }
            if (written.isEmpty() && removedIds.isEmpty()) return
            logger.event(
                LogEvent.REGISTRY_CHANGED,
                "written" to written.map { "${it.id}@${it.address} ${it.softwareVersion} draining=${it.isDraining}" },
                "removed" to removedIds,
            )
        }
    }
}
