package org.medlarhook.core.serving.resume

import org.medlarhook.core.serving.fleet.RegistryChange
import org.medlarhook.core.serving.fleet.RegistryPosition
import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import org.medlarhook.core.serving.upstream
import kotlin.random.Random

/**
 * Processes that follow the registry of one service, begin streams at the versions that they know, and take up streams
 * that began elsewhere, while engines of new versions replace the old ones.
 *
 * The clocks of processes differ, and don't count their suspension.
 */
internal class ReleaseReplay(
    seed: Long,
    private val rule: InferenceRule,
    private val troubles: ReleaseTroubles,
) {
    private val random = Random(seed)
    private val changes = ArrayList<Change>()
    private val runsUntilMs = HashMap<Upstream, Long>()
    private val processes = List(PROCESSES) { Process(random.nextLong(CLOCK_SPREAD_MS)) }
    private val broken = ArrayList<BrokenStream>()
    private var outcome = ReleaseOutcome()
    private var nowMs = 0L
    private var nextRelease = 2
    private var withdrawnAtMs = Long.MAX_VALUE
    private var pausedUntilMs = QUIET_MS

    /** A registration that was written, or removed if [written] is null. */
    private class Change(
        val id: String,
        val written: Upstream?,
    )

    private class BrokenStream(
        val stream: BegunStream,
        val begunBy: Int,
        val takenUpAtMs: Long,
    )

    private inner class Process(
        var clockOffsetMs: Long,
    ) {
        var versions = StreamVersions()
        var registry = UpstreamRegistry()
        var position: Int? = null
        var readBegunAtMs = 0L
        var storeCutUntilMs = 0L
        var datagramsCutUntilMs = 0L
        var suspendedUntilMs = 0L
        val clockMs get() = nowMs + clockOffsetMs
        val isRunning get() = nowMs >= suspendedUntilMs
        val hasStore get() = isRunning && nowMs >= storeCutUntilMs
        val hasDatagrams get() = isRunning && nowMs >= datagramsCutUntilMs
        val registered get() = registry.all()
        val isCertain get() = versions.singleVersion(SERVICE, registered, 0, clockMs - RECENT_MS, clockMs) != null

        fun restart() {
            versions = StreamVersions()
            registry = UpstreamRegistry()
            position = null
            readBegunAtMs = clockMs
        }

        fun step() {
            if (!isRunning) {
                clockOffsetMs -= STEP_MS
            } else if (hasStore) {
                val hasNews = position != changes.size
                if (hasNews || clockMs - readBegunAtMs >= WAIT_MS) read()
            } else if (clockMs - readBegunAtMs >= READ_TIMEOUT_MS) {
                apply(RegistryUpdate.Unreachable)
            }
        }

        fun read() {
            val from = position
            if (from == null) {
                apply(RegistryUpdate.Listing(current()))
            } else {
                val latest = changes.drop(from).associateBy { it.id }.values
                val news = latest.map { it.written?.let(RegistryChange::Written) ?: RegistryChange.Removed(it.id) }
                apply(RegistryUpdate.Changes(news))
            }
        }

        private fun apply(update: RegistryUpdate) {
            val before = registered
            registry = registry.apply(update, clockMs)
            val at = RegistryPosition(0, changes.size.toLong())
            versions =
                when (update) {
                    is RegistryUpdate.Unreachable -> versions.registryLost()
                    is RegistryUpdate.Listing -> changed(before, at).registryRead(clockMs)
                    is RegistryUpdate.Changes -> {
                        val changed = changed(before + update.written, at)
                        val knownIds = before.map { it.id }.toSet()
                        if (update.removesUnseen(knownIds)) changed.upstreamsMissed(clockMs) else changed
                    }
                }
            if (update !is RegistryUpdate.Unreachable) position = changes.size
            readBegunAtMs = clockMs
        }

        private fun changed(before: List<Upstream>, at: RegistryPosition) =
            versions.registryChanged(before, registered, readBegunAtMs, clockMs, at)

        fun inferredFor(question: RegistryPosition?): String? =
            when (rule) {
                InferenceRule.READ_AFTERWARDS ->
                    question?.let { versions.singleVersionUpTo(it, SERVICE, registered, 0, clockMs) }
                InferenceRule.READ_LATELY ->
                    versions.singleVersion(SERVICE, registered, 0, clockMs - RECENT_MS, clockMs)
            }

        fun versionOf(stream: BegunStream): String? {
            recorded(stream)?.let { return it }
            return if (rule == InferenceRule.READ_LATELY) inferredFor(null) ?: ask(stream, null) else infer(stream)
        }

        private fun recorded(stream: BegunStream): String? =
            (versions.recorded(null, stream.attemptId, clockMs) as? StreamOrigin.BegunAt)?.softwareVersion

        private fun infer(stream: BegunStream): String? {
            if (versions.versionSeen(SERVICE, registered, 0, clockMs) == null) return ask(stream, null)
            if (!hasStore) return ask(stream, null)
            outcome = outcome.copy(reads = outcome.reads + 1)
            val confirmedSinceMs = clockMs
            readBegunAtMs = clockMs
            read()
            versions.singleVersion(SERVICE, registered, 0, confirmedSinceMs, clockMs)?.let { return it }
            val answer = ask(stream, versions.watchedFrom)
            val seen = versions.versionSeen(SERVICE, registered, 0, clockMs)
            return answer.takeIf { it == seen || stream.attemptId in recordedElsewhere }
        }

        private val recordedElsewhere = HashSet<String>()

        private fun ask(stream: BegunStream, from: RegistryPosition?): String? {
            val asked = processes.filter { it !== this && arrives(this, it) && arrives(it, this) }
            val recorded = asked.mapNotNull { it.recorded(stream) }.distinct().singleOrNull()
            if (recorded != null) recordedElsewhere += stream.attemptId
            return recorded ?: asked.mapNotNull { it.inferredFor(from) }.distinct().singleOrNull()
        }
    }

    private fun arrives(sender: Process, receiver: Process): Boolean {
        outcome = outcome.copy(messages = outcome.messages + 1)
        return sender.hasDatagrams && receiver.hasDatagrams && random.nextDouble() >= troubles.datagramLoss
    }

    private fun current(): List<Upstream> = changes.associateBy { it.id }.values.mapNotNull { it.written }

    fun run(): ReleaseOutcome {
        repeat(ENGINES) { write(engine(1, it)) }
        while (nowMs < LENGTH_MS) {
            nowMs += STEP_MS
            operate()
            trouble()
            processes.forEach { it.step() }
            repeat(random.nextInt(3)) { begin() }
            takeUp()
        }
        return outcome
    }

    private fun engine(release: Int, index: Int) = upstream("$release-$index") { softwareVersion = "v$release" }

    private fun write(engine: Upstream) {
        changes += Change(engine.id, engine)
        runsUntilMs[engine] = Long.MAX_VALUE
    }

    private fun remove(engine: Upstream) {
        changes += Change(engine.id, null)
        runsUntilMs[engine] = nowMs + random.nextLong(RUNS_ON_MS)
    }

    /** Replaces the engines of a version in any order, or withdraws a new version soon after its first engine. */
    private fun operate() {
        if (!troubles.hasReleases || nowMs < pausedUntilMs) return
        val registered = current()
        val old = registered.filter { it.softwareVersion != "v$nextRelease" }
        val new = registered - old.toSet()
        if (nowMs >= withdrawnAtMs) return withdraw(new)
        if (random.nextInt(OPERATION_STEPS) > 0) return
        when {
            new.isNotEmpty() && random.nextInt(OPERATION_STEPS) == 0 -> remove(new.random(random))
            new.size < ENGINES -> {
                if (new.isEmpty()) beginRelease()
                write(engine(nextRelease, registered.size + changes.size))
            }
            old.isNotEmpty() -> remove(old.random(random))
            random.nextInt(RELEASE_STEPS) == 0 -> nextRelease++
        }
    }

    private fun beginRelease() {
        repeat(2) { strike() }
        if (random.nextBoolean()) withdrawnAtMs = nowMs + random.nextLong(LONGEST_VISIT_MS)
    }

    private fun withdraw(engines: List<Upstream>) {
        engines.forEach { remove(it) }
        withdrawnAtMs = Long.MAX_VALUE
        pausedUntilMs = nowMs + PAUSE_MS
        nextRelease++
    }

    private fun trouble() {
        if (nowMs >= QUIET_MS && random.nextInt(TROUBLE_STEPS) == 0) strike()
    }

    /** Puts a process out of step for some time, or restarts it. */
    private fun strike() {
        val process = processes.random(random)
        val untilMs = nowMs + random.nextLong(LONGEST_TROUBLE_MS)
        if (troubles.cutsStore && random.nextInt(3) > 0) process.storeCutUntilMs = untilMs
        if (troubles.cutsDatagrams && random.nextInt(3) > 0) process.datagramsCutUntilMs = untilMs
        if (troubles.suspends && random.nextInt(3) == 0) process.suspendedUntilMs = untilMs
        if (troubles.kills && random.nextInt(KILLS) == 0) process.restart()
    }

    private fun begin() {
        val index = random.nextInt(PROCESSES)
        val process = processes[index].takeIf { it.isRunning } ?: return
        val engine = process.registry.serving(SERVICE).filter { nowMs < runsUntilMs.getValue(it) }.randomOrNull(random)
        val version = engine?.softwareVersion ?: return
        val stream = BegunStream(null, "s-${random.nextLong()}", SERVICE, version, STREAM_MS)
        process.versions = process.versions.awaited(SERVICE, STREAM_MS).began(stream, process.clockMs)
        if (!process.isCertain) tell(process, stream)
        if (random.nextInt(BREAKS) == 0) broken += BrokenStream(stream, index, nowMs + random.nextLong(STREAM_MS))
    }

    private fun tell(process: Process, stream: BegunStream) =
        (processes - process).shuffled(random).take(HOLDERS).filter { arrives(process, it) }.forEach {
            it.versions = it.versions.began(stream, it.clockMs)
        }

    private fun takeUp() {
        val due = broken.filter { it.takenUpAtMs <= nowMs }
        broken -= due.toSet()
        due.forEach { taken ->
            val process =
                (processes - processes[taken.begunBy]).random(random).takeIf { it.isRunning } ?: return@forEach
            if (troubles.kills && random.nextBoolean()) processes[taken.begunBy].restart()
            val version = process.versionOf(taken.stream)
            val isWrong = version != null && version != taken.stream.softwareVersion
            outcome +=
                ReleaseOutcome(takenUp = 1, wentOn = if (version == null) 0 else 1, wrong = if (isWrong) 1 else 0)
        }
    }

    internal companion object {
        private const val SERVICE = "lm"
        private const val PROCESSES = 5
        private const val ENGINES = 3
        private const val HOLDERS = 2
        private const val STEP_MS = 50L
        private const val LENGTH_MS = 120_000L
        private const val QUIET_MS = 15_000L
        private const val WAIT_MS = 1_500L
        private const val READ_TIMEOUT_MS = 2_300L
        private const val RECENT_MS = 5_000L
        private const val STREAM_MS = 2_000L
        private const val CLOCK_SPREAD_MS = 1_000_000L

        /** How long engines go on after their registration is gone. */
        private const val RUNS_ON_MS = 2_500L
        private const val LONGEST_TROUBLE_MS = 4_500L
        private const val LONGEST_VISIT_MS = 2_000L
        private const val PAUSE_MS = 8_000L
        private const val OPERATION_STEPS = 10
        private const val RELEASE_STEPS = 20
        private const val TROUBLE_STEPS = 100
        private const val KILLS = 4
        private const val BREAKS = 8
    }
}
