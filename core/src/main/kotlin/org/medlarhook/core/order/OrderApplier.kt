package org.medlarhook.core.order

import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource

/**
 * Runs an [ApplierMachine] over the table service and the engine of one upstream. Steps come from one thread at a
 * time; [hint] may be called from any.
 */
public class OrderApplier(
    private val key: OrderKey,
    incarnation: Long,
    settings: ApplierSettings,
    private val tables: TableService,
    private val engine: EngineControl,
    private val time: TimeSource,
) {
    private val machine = ApplierMachine(key, incarnation, settings)
    private val lock = Any()
    private var action: ApplierAction? = null

    @Volatile
    private var hinted = false

    /** Where the sidecar stands, for dumps. */
    @Volatile
    public var state: ApplierState = machine.start(time.monotonicMs())
        private set

    /** Takes note of a push: the row is read at the next step. */
    public fun hint() {
        hinted = true
    }

    /** Does what is due, until only time or a hint can bring more. */
    public fun run() {
        while (step()) Unit
    }

    /** Makes one call, or a tick if no call is due. Returns true if a call is waiting. */
    public fun step(): Boolean =
        synchronized(lock) {
            val event = action?.let { perform(it) } ?: timeOrHint()
            val step = machine.next(state, event, time.monotonicMs())
            state = step.state
            action = step.action
            action != null
        }

    private fun timeOrHint(): ApplierEvent {
        if (!hinted || state !is ApplierState.Idle) return ApplierEvent.Tick
        hinted = false
        return ApplierEvent.Hint
    }

    private fun perform(action: ApplierAction): ApplierEvent =
        when (action) {
            is ApplierAction.ReadRow -> tables.read(key.orderRow).fold({
                ApplierEvent.ReadFailed
            }, { ApplierEvent.RowRead(it) })
            is ApplierAction.CallEngine -> ApplierEvent.EngineAnswered(engine.apply(action.order))
            is ApplierAction.Complete ->
                tables.transact(action.transaction).fold({ ApplierEvent.CompletionFailed }, { ApplierEvent.Completed })
        }
}
