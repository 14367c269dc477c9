package org.medlarhook.core.fuzz

import org.medlarhook.fakes.TableFault

/** What happens next in a world; [first] and [second] choose entries, and [runMs] passes afterwards. */
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
        START_APART,
        RETURN_APART,
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

    fun applyTo(world: FuzzWorld) {
        val entry = world.alive(first)
        val other = world.alive(second)
        when (kind) {
            Kind.RUN -> Unit
            Kind.WITHDRAW -> world.operate(entry, withdraw = true)
            Kind.CONFIGURE -> world.operate(entry, withdraw = false)
            Kind.RACE -> listOf(entry, other).forEach { world.operate(it, withdraw = true) }
            Kind.PAUSE -> entry.paused = true
            Kind.RESUME -> world.resumeAll()
            Kind.KILL -> world.kill(entry)
            Kind.START -> world.start()
            Kind.RETURN_APART -> world.returnApart(entry)
            Kind.START_APART -> world.startApart()
            Kind.STOP -> world.stop(entry)
            Kind.CUT_TABLES -> entry.tables.fault = TableFault.UNAVAILABLE
            Kind.LOSE_ANSWER -> lose(world, entry)
            Kind.HEAL_TABLES -> entry.tables.fault = TableFault.NONE
            Kind.OUTAGE -> world.entries.forEach { it.tables.fault = TableFault.UNAVAILABLE }
            Kind.OUTAGE_ENDS -> world.entries.forEach { it.tables.fault = TableFault.NONE }
            Kind.SLOW_PLATFORM -> world.platformDelayMs = if (world.platformDelayMs == 0L) SLOW_MS else 0L
            Kind.CUT_LINK -> world.links.cut(entry.id, other.id)
            Kind.CUT_OFF -> world.entries.forEach { world.links.cutBoth(entry.id, it.id) }
            Kind.HEAL_LINKS -> world.links.heal()
            Kind.DISTURB_LINKS -> world.links.disturbed = !world.links.disturbed
        }
        world.run(runMs)
    }

    private fun lose(world: FuzzWorld, entry: FuzzEntry) {
        val loss = if (second % 2 == 0) TableFault.ANSWER_LOST else TableFault.REQUEST_LOST
        val after = if (second % 3 == 0) TableFault.NONE else TableFault.UNAVAILABLE
        entry.losing.loseNext(loss, after)
        world.operate(entry, withdraw = true)
    }

    private companion object {
        const val SLOW_MS = 2_500L
    }
}
