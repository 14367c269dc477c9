package org.medlarhook.core.serving.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.medlarhook.core.serving.fleet.Incarnation

/**
 * Which requests, and which parts of prompts, crash the upstreams that begin to run them, concluded from crashes and
 * complete answers.
 *
 * Designed for a request that crashes every upstream, or a part that does so in whatever prompt, among sound requests
 * that share path, caller and parts with it. A crash also cuts the sound requests that run on the upstream, so it is
 * evidence against all requests that it cuts and their parts, once for each incarnation. A suspect is cleared by a
 * complete answer, which one that crashes every upstream can't have. The narrower explanation goes first: crashes
 * that a whole request explains don't count against its parts, unless more of them happened without it.
 *
 * A culprit is quarantined for [holdMs] after its last crash, twice as long after each further one. At the end one
 * request is sent as a probe, and no other one until it has crashed an upstream, which begins the quarantine again, or
 * has had an answer. A request that many callers send may have been cut by three crashes at once, or by those of
 * another accused request: it is probed after [EARLY_PROBE_MS] already, until more crashes have happened under it than
 * that. All times are on the monotonic clock.
 *
 * @property evidence by suspect, the upstreams that crashed under it since its last complete answer, and when they did.
 * @property soundAtMs by suspect, the time of its last complete answer; of a request only if it was suspected.
 * @property holdSpread how much of the greatest extra time this process adds to each quarantine, from 0 to 1. Processes
 * with different values don't all end a quarantine at once.
 * @property probedAtMs when this process last sent a request with a culprit whose quarantine had ended.
 */
public data class CrashEvidence(
    val evidence: PersistentMap<Suspect, PersistentMap<Incarnation, Long>> = persistentMapOf(),
    private val soundAtMs: PersistentMap<Suspect, Long> = persistentMapOf(),
    private val holdSpread: Double = 0.0,
    private val probedAtMs: PersistentMap<Suspect, Long> = persistentMapOf(),
) {
    /** What explains the crashes: requests, and the parts with the most of the rest, those without an answer first. */
    public val culprits: Set<Suspect> by lazy { findCulprits() }

    /** True if a whole request is suspected. */
    public val hasSuspectedRequests: Boolean by lazy { evidence.keys.any { it is Suspect.Request } }

    /** Records that [incarnation] crashed at [atMs] while it ran a request with [suspects]. */
    public fun crashed(suspects: Collection<Suspect>, incarnation: Incarnation, atMs: Long): CrashEvidence {
        val counted = suspects.filter { isAfterSuccess(it, atMs) && evidence[it]?.containsKey(incarnation) != true }
        if (counted.isEmpty()) return this
        val updated = counted.fold(evidence) { all, suspect ->
            val crashes = (all[suspect] ?: persistentMapOf()).put(incarnation, atMs)
            val kept = if (crashes.size > MAX_CRASHES) crashes.remove(crashes.minBy { it.value }.key) else crashes
            all.put(suspect, kept)
        }
        return copy(evidence = if (updated.size > MAX_SUSPECTS) strongest(updated) else updated)
    }

    /** Records a complete answer at [atMs] on a request with [suspects], which drops the evidence against them. */
    public fun succeeded(suspects: Collection<Suspect>, atMs: Long): CrashEvidence {
        val remembered = suspects.filter { it is Suspect.Part || it in evidence }
        val sound = remembered.fold(soundAtMs) { all, suspect -> all.put(suspect, maxOf(atMs, all[suspect] ?: atMs)) }
        val answered = copy(soundAtMs = if (sound.size > MAX_SOUND) newest(sound) else sound)
        val accused = remembered.filter { it in evidence }
        return if (accused.isEmpty()) answered else answered.withoutRefuted(accused, atMs)
    }

    private fun withoutRefuted(suspects: Collection<Suspect>, answeredAtMs: Long): CrashEvidence =
        copy(
            evidence = suspects.fold(evidence) { all, suspect ->
                val crashes = all[suspect]?.filterValues { it > answeredAtMs + SOUND_MS }.orEmpty()
                if (crashes.isEmpty()) all.remove(suspect) else all.put(suspect, crashes.toPersistentMap())
            },
        )

    /** True if a complete answer on [suspect] shows that it did not cause a crash at [crashedAtMs]. */
    public fun refutes(suspect: Suspect, crashedAtMs: Long): Boolean = !isAfterSuccess(suspect, crashedAtMs)

    /** When [suspect] last had a complete answer, or null if none is known. */
    public fun lastAnswerMs(suspect: Suspect): Long? = soundAtMs[suspect]

    /**
     * The one of [suspects] for which a request must not be sent at [nowMs], or null if it may be. Parts with the same
     * evidence can't be told apart: only requests with all of them are refused, until one of them stands out.
     */
    public fun refusedFor(suspects: Collection<Suspect>, nowMs: Long): Suspect? =
        blocking(suspects).firstOrNull { nowMs < quarantinedUntilMs(it) }

    /** Those of [suspects] for which a request with all of them is refused during their quarantine. */
    private fun blocking(suspects: Collection<Suspect>): List<Suspect> =
        if (culprits.isEmpty()) {
            emptyList()
        } else {
            suspects.filter { it in culprits && (it is Suspect.Request || standsOut(it, suspects)) }
        }

    private fun standsOut(part: Suspect, suspects: Collection<Suspect>): Boolean =
        culprits.all { it is Suspect.Request || it in suspects || crashesOf(it) != crashesOf(part) }

    /** True if [suspect] is a culprit whose quarantine has not ended at [nowMs]. */
    public fun isQuarantined(suspect: Suspect, nowMs: Long): Boolean =
        suspect in culprits && nowMs < quarantinedUntilMs(suspect)

    /** Records that a request with [suspects] is sent at [nowMs], as a probe of those whose quarantine has ended. */
    public fun probed(suspects: Collection<Suspect>, nowMs: Long): CrashEvidence {
        val probed = blocking(suspects).filter { nowMs >= quarantinedUntilMs(it) }
        return if (probed.isEmpty()) this else copy(probedAtMs = probedAtMs.putAll(probed.associateWith { nowMs }))
    }

    /** The one of [suspects] whose probe has no result yet at [nowMs], so that no other one is sent, or null. */
    public fun awaitedProbe(suspects: Collection<Suspect>, nowMs: Long): Suspect? =
        blocking(suspects).firstOrNull { suspect -> probedAtMs[suspect]?.let { nowMs < it + PROBE_MS } == true }

    /** True if one of [suspects] may be a culprit: upstreams crashed under it and no answer has cleared it since. */
    public fun hasSuspect(suspects: Collection<Suspect>): Boolean = suspects.any { it in evidence }

    private fun crashesOf(suspect: Suspect): Set<Incarnation> = evidence[suspect]?.keys.orEmpty()

    private fun quarantinedUntilMs(suspect: Suspect): Long {
        val crashes = evidence.getValue(suspect)
        val quarantineMs = if (isProbedEarly(suspect)) EARLY_PROBE_MS else holdMs(crashes.size)
        return crashes.values.max() + quarantineMs + (holdSpread * minOf(quarantineMs, MAX_SPREAD_MS)).toLong()
    }

    private fun isProbedEarly(suspect: Suspect): Boolean {
        val crashes = crashesOf(suspect)
        val others = culprits.filter { it is Suspect.Request && it != suspect }
        return suspect is Suspect.Request &&
            (crashes.size == CRASHES_TO_ACCUSE || others.any { crashesOf(it).containsAll(crashes) })
    }

    /** Drops at [nowMs] what is too old to tell of the present. */
    public fun prune(nowMs: Long): CrashEvidence {
        val kept = evidence.filterValues { nowMs < it.values.max() + maxOf(SUSPECT_MS, FORGET_HOLDS * holdMs(it.size)) }
        val sound = soundAtMs.filterValues { nowMs < it + SOUND_KEPT_MS }
        if (kept.size == evidence.size && sound.size == soundAtMs.size) return this
        return copy(
            evidence = kept.toPersistentMap(),
            soundAtMs = sound.toPersistentMap(),
            probedAtMs = probedAtMs.filterKeys { it in kept }.toPersistentMap(),
        )
    }

    private fun isAfterSuccess(suspect: Suspect, atMs: Long): Boolean =
        soundAtMs[suspect]?.let { atMs > it + SOUND_MS } ?: true

    private fun findCulprits(): Set<Suspect> {
        val strong = evidence.filterValues { it.size >= CRASHES_TO_ACCUSE }
        if (strong.isEmpty()) return emptySet()
        val requests = strong.keys.filterIsInstance<Suspect.Request>()
        val parts = findCulpritParts(strong.filterKeys { it is Suspect.Part }, requests)
        return parts + requests.filterNot { isExplainedBy(parts, it) }
    }

    private fun findCulpritParts(
        strong: Map<Suspect, Map<Incarnation, Long>>,
        requests: List<Suspect.Request>,
    ): Set<Suspect> {
        val explainedByRequests = requests.flatMap { crashesOf(it) }.toSet()
        val ranked = strong.entries
            .groupBy { (part, crashes) -> Rank(part in soundAtMs, crashes.size) }
            .toSortedMap(compareBy<Rank> { it.wasSound }.thenByDescending { it.crashes })
        val explained = HashSet<Incarnation>()
        val found = LinkedHashSet<Suspect>()
        ranked.forEach { (rank, parts) ->
            val accused = parts.map { it.key }.filter { part ->
                val unexplained = crashesOf(part) - explained
                if (rank.wasSound) {
                    (unexplained - explainedByRequests).size >= CRASHES_TO_ACCUSE_SOUND
                } else {
                    unexplained.size >= CRASHES_TO_ACCUSE && happenedWithoutEach(requests, part)
                }
            }
            found += accused
            accused.forEach { explained += crashesOf(it) }
        }
        return found
    }

    /** True if none of [requests] alone explains the crashes under [part]. */
    private fun happenedWithoutEach(requests: List<Suspect.Request>, part: Suspect): Boolean =
        requests.all { (crashesOf(part) - crashesOf(it)).size >= CRASHES_WITHOUT_REQUEST }

    /** True if a request was cut by crashes that [parts] with more of them explain. */
    private fun isExplainedBy(parts: Set<Suspect>, request: Suspect.Request): Boolean {
        val crashes = crashesOf(request)
        val explained = parts.map { crashesOf(it) }.filter { it.size > crashes.size }.flatten().toSet()
        return (crashes - explained).size < CRASHES_TO_ACCUSE
    }

    private data class Rank(
        val wasSound: Boolean,
        val crashes: Int,
    )

    private fun strongest(all: PersistentMap<Suspect, PersistentMap<Incarnation, Long>>) =
        all.entries.sortedWith(
            compareByDescending<Map.Entry<Suspect, Map<Incarnation, Long>>> { it.value.size }
                .thenByDescending { it.value.values.max() },
        )
            .take(MAX_SUSPECTS / 2)
            .associate { it.key to it.value }
            .toPersistentMap()

    private fun newest(all: PersistentMap<Suspect, Long>) =
        all.entries.sortedByDescending {
            it.value
        }.take(MAX_SOUND / 2).associate { it.key to it.value }.toPersistentMap()

    public companion object {
        /**
         * Upstreams that must crash under a suspect. One crash cuts a dozen sound requests, and their retries may meet
         * a second one.
         */
        public const val CRASHES_TO_ACCUSE: Int = 3

        /** For a part with a recent complete answer, which its service has probably served for long. */
        public const val CRASHES_TO_ACCUSE_SOUND: Int = 5

        /** Crashes under a part beside those under any single request: as many as another request can cause. */
        private const val CRASHES_WITHOUT_REQUEST = 2

        /** Crashes this soon after a complete answer on a suspect don't count against it. */
        public const val SOUND_MS: Long = 2_000

        /** Limits the memory for one suspect. */
        public const val MAX_CRASHES: Int = 12

        /** Limits the memory of a process in which many requests are cut at once. */
        public const val MAX_SUSPECTS: Int = 1_024
        private const val MAX_SOUND = 4_096
        private const val SOUND_KEPT_MS = 300_000L
        private const val SUSPECT_MS = 300_000L
        private const val FIRST_HOLD_MS = 120_000L

        /** Upstreams that crashed are back by then, so that a probe can have an answer. */
        public const val EARLY_PROBE_MS: Long = 4_000

        /** The greatest extra time of a quarantine: processes learn of a crash well before the next one ends theirs. */
        private const val MAX_SPREAD_MS = 10_000L

        /** A crash, or the answer of a plain request or a short prompt, comes within this time after its sending. */
        private const val PROBE_MS = 2_000L

        /** A culprit that was not asked for in this many of its holds after its last crash is forgotten. */
        private const val FORGET_HOLDS = 2

        /** How long a suspect under which [crashes] upstreams crashed is quarantined after the last crash. */
        public fun holdMs(crashes: Int): Long =
            FIRST_HOLD_MS shl (crashes - CRASHES_TO_ACCUSE).coerceIn(0, MAX_CRASHES - CRASHES_TO_ACCUSE)
    }
}
