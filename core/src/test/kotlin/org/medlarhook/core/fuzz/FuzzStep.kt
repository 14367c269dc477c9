package org.medlarhook.core.fuzz

import org.medlarhook.fakes.TableFault

/** One step of a chain: an action on the entries chosen by [first] and [second], after which [runMs] pass. */
data class FuzzStep(
    val kind: Kind,
    val first: Int,
    val second: Int,
    val runMs: Long,
) {
    enum class Kind {
        RUN,
        WITHDRAW,
        CONFIGURE,
        RACE,
        PAUSE,
        RESUME,
        KILL,
        START,
        START_ISOLATED,
        ISOLATE_FROM_PEERS,
        STOP,
        CUT_TABLES,
        LOSE_ANSWER,
        HEAL_TABLES,
        OUTAGE,
        OUTAGE_ENDS,
        SLOW_PLATFORM,
        CUT_LINK,
        CUT_OFF,
        HEAL_LINKS,
        DISTURB_LINKS,
    }

    fun applyTo(simulation: DirectorySimulation) {
        val entry = simulation.alive(first)
        val other = simulation.alive(second)
        when (kind) {
            Kind.RUN -> Unit
            Kind.WITHDRAW -> simulation.requestChange(entry, withdraw = true)
            Kind.CONFIGURE -> simulation.requestChange(entry, withdraw = false)
            Kind.RACE -> listOf(entry, other).forEach { simulation.requestChange(it, withdraw = true) }
            Kind.PAUSE -> entry.paused = true
            Kind.RESUME -> simulation.resumeAll()
            Kind.KILL -> simulation.kill(entry)
            Kind.START -> simulation.start()
            Kind.ISOLATE_FROM_PEERS -> simulation.isolateFromPeers(entry)
            Kind.START_ISOLATED -> simulation.startIsolated()
            Kind.STOP -> simulation.stop(entry)
            Kind.CUT_TABLES -> entry.tables.fault = TableFault.UNAVAILABLE
            Kind.LOSE_ANSWER -> lose(simulation, entry)
            Kind.HEAL_TABLES -> entry.tables.fault = TableFault.NONE
            Kind.OUTAGE -> simulation.entries.forEach { it.tables.fault = TableFault.UNAVAILABLE }
            Kind.OUTAGE_ENDS -> simulation.entries.forEach { it.tables.fault = TableFault.NONE }
            Kind.SLOW_PLATFORM -> simulation.platformDelayMs = if (simulation.platformDelayMs == 0L) SLOW_MS else 0L
            Kind.CUT_LINK -> simulation.links.cut(entry.id, other.id)
            Kind.CUT_OFF -> simulation.entries.forEach { simulation.links.cutBoth(entry.id, it.id) }
            Kind.HEAL_LINKS -> simulation.links.heal()
            Kind.DISTURB_LINKS -> simulation.links.disturbed = !simulation.links.disturbed
        }
        simulation.run(runMs)
    }

    private fun lose(simulation: DirectorySimulation, entry: FuzzEntry) {
        val loss = if (second % 2 == 0) TableFault.ANSWER_LOST else TableFault.REQUEST_LOST
        val after = if (second % 3 == 0) TableFault.NONE else TableFault.UNAVAILABLE
        entry.lossyTables.loseNext(loss, after)
        simulation.requestChange(entry, withdraw = true)
    }

    private companion object {
        const val SLOW_MS = 2_500L
    }
}
