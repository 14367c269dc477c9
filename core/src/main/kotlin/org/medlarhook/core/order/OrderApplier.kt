package org.medlarhook.core.order

import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource

/**
 * Runs an [ApplierMachine] with the table service and the engine of one upstream. Steps run one at a time; [hint] may
 * be called from any thread.
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
    private var isHinted = false

    /** The state after the last step. */
    @Volatile
    public var state: ApplierState = machine.start(time.monotonicMs())
        private set

    /** Records that a new order was announced: the next step while [ApplierState.Idle] reads the row. */
    public fun hint() {
        isHinted = true
    }

    /** Makes the calls that are due, until the next one depends on time or a hint. */
    public fun run() {
        while (step()) Unit
    }

    /** Makes the pending call, or handles a hint or a tick if there is none. Returns true if a call is pending then. */
    public fun step(): Boolean =
        synchronized(lock) {
            val event = action?.let { perform(it) } ?: timeOrHint()
            val step = machine.next(state, event, time.monotonicMs())
            state = step.state
            action = step.action
            action != null
        }

    private fun timeOrHint(): ApplierEvent {
        if (!isHinted || state !is ApplierState.Idle) return ApplierEvent.Tick
        isHinted = false
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
