//! Suggestions of the planner in the first live entry.

mod common;

use common::{Site, eventually, named_settings, run};
use wire::Suggestion;

/// Guards against a model that must have a copy and gets none, and against every entry planning.
#[test]
fn the_first_entry_suggests_a_copy_of_a_model_that_must_have_one() {
    run(async {
        let both = vec![named_settings("entry-1"), named_settings("entry-2")];
        let site = Site::start_all(both, &["e1", "e2"]).await;
        let tribute = Suggestion::Load { model: "tribute".into() };
        let suggested = || -> Vec<_> {
            site.sides.iter().flat_map(common::fake_side::FakeSide::suggestions).collect()
        };
        eventually(|| suggested().iter().any(|(_, suggestion)| *suggestion == tribute)).await;
        // A side process that is heard of a moment earlier by the second entry may meet its planner
        // before the first one is known; from then on only the first entry plans.
        eventually(|| suggested().iter().any(|(from, _)| from.as_str() == "entry-1")).await;
        let loads = suggested()
            .into_iter()
            .filter(|(from, suggestion)| from.as_str() == "entry-1" && *suggestion == tribute);
        assert_eq!(loads.count(), 1);
        assert!(suggested().iter().all(|(_, suggestion)| *suggestion == tribute));
    });
}
