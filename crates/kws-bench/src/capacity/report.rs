//! What was measured for a role, as the capacity page shows it.

use super::{
    fit::{FitPoint, LinearFit},
    target::{CORE_BUDGET, MEMORY_BUDGET, NETWORK_BUDGET},
};

/// What one more of the size costs.
#[derive(Clone, Debug)]
pub struct MeasuredSlope {
    what: &'static str,
    unit: &'static str,
    sized_by: &'static str,
    points: Vec<FitPoint>,
    target: f64,
}

impl MeasuredSlope {
    /// Points of `what`, in `unit`, over sizes counted in `sized_by`; `target` is the size to design
    /// for.
    pub fn new(
        what: &'static str,
        unit: &'static str,
        sized_by: &'static str,
        points: Vec<FitPoint>,
        target: f64,
    ) -> Self {
        Self {
            what,
            unit,
            sized_by,
            points,
            target,
        }
    }

    /// The value of the line at the target, which is never below 0.
    pub fn at_target(&self) -> f64 {
        self.fit().at(self.target).max(0.0)
    }

    fn fit(&self) -> LinearFit {
        LinearFit::least_squares(&self.points)
    }

    fn print(&self) {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|point| format!("{}: {}", figure(point.size), figure(point.value)))
            .collect();
        let fit = self.fit();
        println!(
            "| {} | {} | {} | {} | {} + {} n | {} at {} |",
            self.what,
            self.unit,
            self.sized_by,
            points.join(", "),
            figure(fit.base),
            figure(fit.slope),
            figure(self.at_target()),
            figure(self.target),
        );
    }
}

/// What a role takes of one host at the target.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleCost {
    /// Processor time, as a share of one core.
    pub core: f64,
    /// Memory, in bytes.
    pub memory: f64,
    /// Bytes sent a second, with the overhead of frames.
    pub network: f64,
    /// Messages sent to peers a second.
    pub messages: f64,
}

/// One line with a budget of its own.
#[derive(Clone, Debug)]
pub struct BudgetLine {
    /// What is bounded.
    pub what: &'static str,
    /// The value at the target.
    pub value: f64,
    /// Its bound.
    pub budget: f64,
    /// The unit of both.
    pub unit: &'static str,
}

/// One role.
#[derive(Clone, Debug)]
pub struct RoleReport {
    /// Its name.
    pub role: &'static str,
    /// What was measured.
    pub slopes: Vec<MeasuredSlope>,
    /// What follows for one host.
    pub cost: RoleCost,
    /// Budgets beside those of a host.
    pub lines: Vec<BudgetLine>,
}

impl RoleReport {
    /// Prints the tables of the role.
    pub fn print(&self) {
        println!("#### Figures: {}\n", self.role);
        println!("| Measure | Unit | n counts | Measured | Fit | At the target |");
        println!("|---|---|---|---|---|---|");
        for slope in &self.slopes {
            slope.print();
        }
        println!();
        if self.lines.is_empty() {
            return;
        }
        println!("| Bound | At the target | Budget | Margin |");
        println!("|---|---|---|---|");
        for line in &self.lines {
            println!(
                "| {} | {} {} | {} | {} |",
                line.what,
                figure(line.value),
                line.unit,
                figure(line.budget),
                margin(line.value, line.budget)
            );
        }
        println!();
    }
}

/// Prints what all roles take together of one host.
pub fn print_totals(reports: &[RoleReport]) {
    println!("#### Figures: one host\n");
    println!("| Role | % of a core | MB | KB/s sent |");
    println!("|---|---|---|---|");
    let mut sum = RoleCost::default();
    for report in reports {
        print_cost(report.role, report.cost);
        sum.core += report.cost.core;
        sum.memory += report.cost.memory;
        sum.network += report.cost.network;
    }
    print_cost("All", sum);
    print_cost(
        "Budget",
        RoleCost {
            core: CORE_BUDGET,
            memory: MEMORY_BUDGET,
            network: NETWORK_BUDGET,
            messages: 0.0,
        },
    );
    println!(
        "| Margin | {} | {} | {} |\n",
        margin(sum.core, CORE_BUDGET),
        margin(sum.memory, MEMORY_BUDGET),
        margin(sum.network, NETWORK_BUDGET)
    );
}

fn print_cost(role: &str, cost: RoleCost) {
    println!(
        "| {role} | {} | {} | {} |",
        figure(cost.core * 1e2),
        figure(cost.memory / 1e6),
        figure(cost.network / 1e3)
    );
}

/// How far a value is from its bound.
fn margin(value: f64, budget: f64) -> String {
    if value > budget {
        return format!("**red**: {} times over", figure(value / budget));
    }
    format!("{} % left", figure((1.0 - value / budget) * 1e2))
}

/// Three digits that count; thousands are set apart.
pub fn figure(value: f64) -> String {
    if !value.is_finite() {
        return "not measured".to_owned();
    }
    let size = value.abs();
    if size >= 999.5 {
        return grouped(value.round() as i64);
    }
    let decimals = match size {
        size if size >= 99.95 => 0,
        size if size >= 9.995 => 1,
        size if size >= 0.9995 => 2,
        size if size >= 0.01 => 3,
        _ => 6,
    };
    let text = format!("{value:.decimals$}");
    if text.contains('.') {
        return text.trim_end_matches('0').trim_end_matches('.').to_owned();
    }
    text
}

fn grouped(value: i64) -> String {
    let digits = value.unsigned_abs().to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0 { format!("-{text}") } else { text }
}
