//! Help texts of the program and its verbs.

/// Formats the help of the program and of each verb.
pub(crate) struct HelpText;

/// Help of one verb.
struct VerbHelp {
    words: &'static [&'static str],
    usage: &'static str,
    about: &'static str,
    flags: &'static [&'static str],
}

const VERBS: [VerbHelp; 10] = [
    VerbHelp {
        words: &["check"],
        usage: "check DIR",
        about: "Check every .toml file of a directory and report all findings at once.",
        flags: &[],
    },
    VerbHelp {
        words: &["plan"],
        usage: "plan DIR [--prune]",
        about: "Show how a directory differs from what is in force, and the moves of keys\n\
                that applying it would cause. Writes nothing. Give the revision that it\n\
                prints to `apply --revision` to apply exactly this plan.",
        flags: &["store", "timeout-ms", "prune", "preset"],
    },
    VerbHelp {
        words: &["apply"],
        usage: "apply DIR [--prune] [--revision N] [--wait]",
        about: "Put a directory's declarations in force as the next revision. Writes\n\
                nothing if there is no difference. Objects that are in force but not\n\
                declared are listed, and removed only with --prune. To roll back, apply\n\
                an older commit of the files.",
        flags: &[
            "store",
            "operator",
            "timeout-ms",
            "prune",
            "preset",
            "revision",
            "wait",
            "instance",
            "wait-timeout-ms",
        ],
    },
    VerbHelp {
        words: &["preset", "use"],
        usage: "preset use NAME [--revision N] [--wait]",
        about: "Put a preset in force. Exactly one preset is in force at any time.",
        flags: &[
            "store",
            "operator",
            "timeout-ms",
            "revision",
            "wait",
            "instance",
            "wait-timeout-ms",
        ],
    },
    VerbHelp {
        words: &["preset", "list"],
        usage: "preset list",
        about: "List the declared presets and name the one in force.",
        flags: &["store", "timeout-ms"],
    },
    VerbHelp {
        words: &["history"],
        usage: "history [--write ID]",
        about: "List the latest accepted changes: who, when and what. With --write, say\n\
                whether that write was accepted; exit code 0 when it was, 1 when not.",
        flags: &["store", "timeout-ms", "write"],
    },
    VerbHelp {
        words: &["status"],
        usage: "status",
        about: "Show instances, services, servers, their load and their slices.",
        flags: &["instance", "timeout-ms"],
    },
    VerbHelp {
        words: &["dump"],
        usage: "dump",
        about: "Show the complete state of each instance, as JSON.",
        flags: &["instance", "timeout-ms"],
    },
    VerbHelp {
        words: &["drain"],
        usage: "drain SERVER|INSTANCE [--undo] [--wait]",
        about: "Drain a server or an instance: it gets no new work. The drain of a server\n\
                is a revision of the configuration and lasts until `drain SERVER --undo`.\n\
                The drain of an instance cannot be undone; it needs --instance and --token.",
        flags: &[
            "store",
            "operator",
            "timeout-ms",
            "revision",
            "undo",
            "wait",
            "instance",
            "wait-timeout-ms",
            "token",
        ],
    },
    VerbHelp {
        words: &["explain"],
        usage: "explain SERVICE KEY",
        about: "Show a key's slice, part, leader, owner, fence, the remaining time of its\n\
                grant, and the latest decisions about its part.",
        flags: &["instance", "timeout-ms"],
    },
];

const FLAGS: [(&str, &str); 13] = [
    (
        "store",
        "--store ADDRESS         store's address [GERANIUMMAST_STORE_ADDRESS]",
    ),
    (
        "instance",
        "--instance ADDRESS      operator address of an instance; repeatable, or a\n                          list with commas [GERANIUMMAST_OPERATOR_ADDRESS]",
    ),
    (
        "token",
        "--token TOKEN           operator token; prefer the variable, as other users\n                          can see arguments [GERANIUMMAST_OPERATOR_TOKEN]",
    ),
    (
        "operator",
        "--operator NAME         your name, recorded with the change\n                          [GERANIUMMAST_OPERATOR_NAME, else USER]",
    ),
    (
        "timeout-ms",
        "--timeout-ms N          maximum time for an answer, 10000 ms by default\n                          [GERANIUMMAST_TIMEOUT_MS]",
    ),
    (
        "wait",
        "--wait                  wait until the change is in force on every --instance;\n                          lists those still behind",
    ),
    (
        "wait-timeout-ms",
        "--wait-timeout-ms N     maximum time to wait, 20000 ms by default\n                          [GERANIUMMAST_WAIT_TIMEOUT_MS]",
    ),
    (
        "prune",
        "--prune                 remove objects that are not declared",
    ),
    (
        "preset",
        "--preset NAME           preset to activate with the very first apply; default:\n                          `ordinary` if declared, else the first by name",
    ),
    (
        "revision",
        "--revision N            make the change only if revision N is still in force",
    ),
    (
        "undo",
        "--undo                  undo the drain of the server",
    ),
    (
        "write",
        "--write ID              id of the write to look up",
    ),
    ("json", "--json                  print JSON for scripts"),
];

const EXIT_CODES: &str = "\
Exit codes:
  0  done, or already in force
  1  findings, or refused; nothing changed
  2  a flag, variable or argument is invalid; nothing was attempted
  3  lost a race to another operator, who is named; nothing changed
  4  outcome unclear, the store did not answer; the output names the command,
     `geraniummast history --write ID`, that shows the outcome later
  5  the store or an instance did not answer; nothing changed
  6  accepted, but not yet in force on every instance; those behind are listed
";

impl HelpText {
    /// Help of the verb that `words` begin with, or of the whole program.
    pub(crate) fn of(words: &[String]) -> String {
        let Some(verb) = find(words) else {
            return Self::program();
        };
        let mut text = format!(
            "Usage: geraniummast {}\n\n{}\n\nOptions:\n",
            verb.usage, verb.about
        );
        for (name, line) in FLAGS {
            if name == "json" || verb.flags.contains(&name) {
                text += &format!("  {line}\n");
            }
        }
        text + "\n" + EXIT_CODES
    }

    /// Usage of the verb that `words` begin with.
    pub(crate) fn usage(words: &[String]) -> Option<&'static str> {
        find(words).map(|verb| verb.usage)
    }

    /// Names of all verbs.
    pub(crate) fn verbs() -> String {
        let names: Vec<_> = VERBS.iter().map(|verb| verb.words.join(" ")).collect();
        names.join(", ")
    }

    /// Whether the verb that `words` begin with takes `flag`.
    pub(crate) fn takes(words: &[String], flag: &str) -> bool {
        let known = FLAGS.iter().any(|(name, _)| *name == flag);
        // An unknown flag has already been reported by the argument reader.
        !known || flag == "json" || find(words).is_none_or(|verb| verb.flags.contains(&flag))
    }

    fn program() -> String {
        let mut text = "Usage: geraniummast VERB [OPTIONS]\n\nVerbs:\n".to_string();
        for verb in &VERBS {
            text += &format!("  {}\n", verb.usage);
        }
        text +=
            "\n`geraniummast VERB --help` shows the help of a verb. Every verb takes --json.\n\n";
        text + EXIT_CODES
    }
}

fn find(words: &[String]) -> Option<&'static VerbHelp> {
    VERBS.iter().find(|verb| {
        words.len() >= verb.words.len() && verb.words.iter().zip(words).all(|(a, b)| a == b)
    })
}
