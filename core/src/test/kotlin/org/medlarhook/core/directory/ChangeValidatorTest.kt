package org.medlarhook.core.directory

import org.medlarhook.core.directory.Changes.delete
import org.medlarhook.core.directory.Changes.key
import org.medlarhook.core.directory.Changes.put
import org.medlarhook.core.directory.Changes.state
import kotlin.test.Test
import kotlin.test.assertEquals

class ChangeValidatorTest {
    private val issued = key()
    private val base = state(put(1, Workspace("acme"), ModelDeclaration("m", "1")), put(2, issued.grant))

    private fun ref(kind: EntityKind, name: String) = EntityRef(kind.label, name)

    @Test
    fun `Given a valid change, then there is no error`() {
        val change =
            put(3, Workspace("b", models = listOf("m")), Site("s1", "north", models = listOf("m")), key("b").grant)
        assertEquals(emptyList(), ChangeValidator.validate(base, change))
    }

    @Test
    fun `Given many errors, then all are reported at once`() {
        val change = put(
            3,
            Workspace("a b", weight = 0, models = listOf("nope")),
            Site("s1", "north", services = listOf("none"), minUpstreams = 2, maxUpstreams = 1),
            ServiceDeclaration("svc", listOf(ServiceRoute("no-slash"))),
            KeyGrant("k", "ghost", "zz", "00"),
        )
        val expected = setOf(
            ValidationError.BadName(ref(EntityKind.WORKSPACE, "a b")),
            ValidationError.OutOfRange(ref(EntityKind.WORKSPACE, "a b"), "weight", 0),
            ValidationError.MissingReference(ref(EntityKind.WORKSPACE, "a b"), ref(EntityKind.MODEL, "nope")),
            ValidationError.MissingReference(ref(EntityKind.SITE, "s1"), ref(EntityKind.SERVICE, "none")),
            ValidationError.OutOfRange(ref(EntityKind.SITE, "s1"), "maxUpstreams", 1),
            ValidationError.BadPath(ref(EntityKind.SERVICE, "svc"), "no-slash"),
            ValidationError.BadDigest(ref(EntityKind.KEY, "k")),
            ValidationError.MissingReference(ref(EntityKind.KEY, "k"), ref(EntityKind.WORKSPACE, "ghost")),
        )
        assertEquals(expected, ChangeValidator.validate(base, change).toSet())
    }

    @Test
    fun `Given a deletion of something in use or unknown, then it is refused`() {
        val inUse = ChangeValidator.validate(base, delete(3, EntityKind.WORKSPACE, "acme"))
        val key = ref(EntityKind.KEY, issued.grant.name)
        assertEquals(listOf(ValidationError.MissingReference(key, ref(EntityKind.WORKSPACE, "acme"))), inUse)
        val unknown = ChangeValidator.validate(base, delete(3, EntityKind.SITE, "x"))
        assertEquals(listOf(ValidationError.NothingToDelete(ref(EntityKind.SITE, "x"))), unknown)
    }

    @Test
    fun `Given a withdrawn key that is granted again, then it is refused`() {
        val withdrawn = base.applyAll(listOf(put(3, issued.grant.copy(withdrawn = true))))
        val expected = listOf(ValidationError.RetiredKey(ref(EntityKind.KEY, issued.grant.name)))
        assertEquals(expected, ChangeValidator.validate(withdrawn, put(4, issued.grant)))
    }
}
