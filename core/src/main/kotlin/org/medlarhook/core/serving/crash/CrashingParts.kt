package org.medlarhook.core.serving.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.medlarhook.core.serving.fleet.Incarnation

/**
 * Which parts of prompts crash the engines that answer on them, concluded from crashes and complete answers.
 *
 * Designed for a part that crashes every engine that begins an answer on it, while sound requests share all other parts
 * of its prompts. A crash also cuts the sound requests that run on the engine, so it is evidence against all parts of
 * all requests that it cuts, once for each incarnation. A part is cleared by a complete answer on it, which a part that
 * crashes every engine can't have. Crashes that a stronger culprit explains don't count against other parts.
 *
 * A culprit is quarantined for [holdMs] after its last crash, twice as long after each further one: then one more crash
 * quarantines it again. All times are on the monotonic clock.
 *
 * @property evidence by part, the engines that crashed under it since its last complete answer, and when they did.
 * @property soundAtMs by part, the time of its last complete answer.
 */
public data class CrashingParts(
    val evidence: PersistentMap<String, PersistentMap<Incarnation, Long>> = persistentMapOf(),
    private val soundAtMs: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** The parts that explain the crashes: those with the most evidence, parts without a recent answer first. */
    public val culprits: Set<String> by lazy { findCulprits() }

    /** Records that [incarnation] crashed at [atMs] while it ran a request with [parts]. */
    public fun crashed(parts: Collection<String>, incarnation: Incarnation, atMs: Long): CrashingParts {
        val counted = parts.filter { isAfterSuccess(it, atMs) && evidence[it]?.containsKey(incarnation) != true }
        if (counted.isEmpty()) return this
        val updated = counted.fold(evidence) { all, part ->
            val crashes = (all[part] ?: persistentMapOf()).put(incarnation, atMs)
            all.put(part, if (crashes.size > MAX_CRASHES) crashes.remove(crashes.minBy { it.value }.key) else crashes)
        }
        return copy(evidence = if (updated.size > MAX_SUSPECTS) strongest(updated) else updated)
    }

    /** Records a complete answer at [atMs] on a request with [parts], which drops the evidence against them. */
    public fun succeeded(parts: Collection<String>, atMs: Long): CrashingParts {
        val sound = parts.fold(soundAtMs) { all, part -> all.put(part, maxOf(atMs, all[part] ?: atMs)) }
        val answered = copy(soundAtMs = if (sound.size > MAX_SOUND) newest(sound) else sound)
        val accused = parts.filter { it in evidence }
        return if (accused.isEmpty()) answered else answered.withoutRefuted(accused, atMs)
    }

    private fun withoutRefuted(parts: Collection<String>, answeredAtMs: Long): CrashingParts =
        copy(
            evidence = parts.fold(evidence) { all, part ->
                val crashes = all[part]?.filterValues { it > answeredAtMs + SOUND_MS }.orEmpty()
                if (crashes.isEmpty()) all.remove(part) else all.put(part, crashes.toPersistentMap())
            },
        )

    /** True if a complete answer on [part] shows that it did not cause a crash at [crashedAtMs]. */
    public fun refutes(part: String, crashedAtMs: Long): Boolean = !isAfterSuccess(part, crashedAtMs)

    /** When [part] last had a complete answer, or null if none is known. */
    public fun lastAnswerMs(part: String): Long? = soundAtMs[part]

    /**
     * The part of [parts] for which a request must not be sent at [nowMs], or null if it may be. Culprits with the same
     * evidence can't be told apart: only requests with all of them are refused, until one of them stands out.
     */
    public fun refusedFor(parts: Collection<String>, nowMs: Long): String? {
        if (evidence.isEmpty()) return null
        return parts.firstOrNull { part ->
            isQuarantined(part, nowMs) && culprits.all { it in parts || evidence[it]?.keys != evidence[part]?.keys }
        }
    }

    /** True if [part] is a culprit whose last crash is at most [holdMs] ago at [nowMs]. */
    public fun isQuarantined(part: String, nowMs: Long): Boolean = part in culprits && nowMs < heldUntilMs(part)

    /** True if one of [parts] may be a culprit: engines crashed under it and no answer has cleared it since. */
    public fun hasSuspect(parts: Collection<String>): Boolean = parts.any { it in evidence }

    private fun heldUntilMs(part: String): Long = evidence.getValue(part).let { it.values.max() + holdMs(it.size) }

    /** Drops at [nowMs] what is too old to tell of the present. */
    public fun prune(nowMs: Long): CrashingParts {
        val kept = evidence.filterValues { nowMs < it.values.max() + maxOf(SUSPECT_MS, FORGET_HOLDS * holdMs(it.size)) }
        val sound = soundAtMs.filterValues { nowMs < it + SOUND_KEPT_MS }
        return if (kept.size == evidence.size && sound.size == soundAtMs.size) {
            this
        } else {
            CrashingParts(kept.toPersistentMap(), sound.toPersistentMap())
        }
    }

    private fun isAfterSuccess(part: String, atMs: Long): Boolean =
        soundAtMs[part]?.let { atMs > it + SOUND_MS } ?: true

    private fun findCulprits(): Set<String> {
        val ranked = evidence.filterValues { it.size >= CRASHES_TO_ACCUSE }.entries
            .groupBy { (part, crashes) -> Rank(part in soundAtMs, crashes.size) }
            .toSortedMap(compareBy<Rank> { it.wasSound }.thenByDescending { it.crashes })
        val explained = HashSet<Incarnation>()
        val found = LinkedHashSet<String>()
        ranked.forEach { (rank, parts) ->
            val needed = if (rank.wasSound) CRASHES_TO_ACCUSE_SOUND else CRASHES_TO_ACCUSE
            val accused = parts.filter { (_, crashes) -> crashes.keys.count { it !in explained } >= needed }
            accused.forEach { found += it.key }
            accused.forEach { explained += it.value.keys }
        }
        return found
    }

    private data class Rank(
        val wasSound: Boolean,
        val crashes: Int,
    )

    private fun strongest(all: PersistentMap<String, PersistentMap<Incarnation, Long>>) =
        all.entries.sortedWith(
            compareByDescending<Map.Entry<String, Map<Incarnation, Long>>> { it.value.size }
                .thenByDescending { it.value.values.max() },
        )
            .take(MAX_SUSPECTS / 2)
            .associate { it.key to it.value }
            .toPersistentMap()

    private fun newest(all: PersistentMap<String, Long>) =
        all.entries.sortedByDescending {
            it.value
        }.take(MAX_SOUND / 2).associate { it.key to it.value }.toPersistentMap()

    public companion object {
        /**
         * Engines that must crash under a part. One crash cuts a dozen sound requests, and their retries may meet a
         * second one.
         */
        public const val CRASHES_TO_ACCUSE: Int = 3

        /** For a part with a recent complete answer, which its service has probably served for long. */
        public const val CRASHES_TO_ACCUSE_SOUND: Int = 5

        /** Crashes this soon after a complete answer on a part don't count against it. */
        public const val SOUND_MS: Long = 2_000

        /** Limits the memory for one part. */
        public const val MAX_CRASHES: Int = 12

        /** Limits the memory of a process in which many requests are cut at once. */
        public const val MAX_SUSPECTS: Int = 1_024
        private const val MAX_SOUND = 4_096
        private const val SOUND_KEPT_MS = 300_000L
        private const val SUSPECT_MS = 300_000L
        private const val FIRST_HOLD_MS = 120_000L

        /** A culprit that was not asked for in this many of its holds after its last crash is forgotten. */
        private const val FORGET_HOLDS = 2

        /** How long a part under which [crashes] engines crashed is quarantined after the last crash. */
        public fun holdMs(crashes: Int): Long =
            FIRST_HOLD_MS shl (crashes - CRASHES_TO_ACCUSE).coerceIn(0, MAX_CRASHES - CRASHES_TO_ACCUSE)
    }
}
