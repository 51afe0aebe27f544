# gnuplot -e "table='docs/experiments/replica-size.csv'; chart='docs/experiments/replica-size.svg'" rigs/replica/chart.gp
set datafile separator ","
set terminal svg size 900,420 font "sans,13"
set output chart
set logscale x
set xlabel "nodes"
set xtics (4, 20, 100, 300, 1000)
set key top left
set grid
set multiplot layout 1,2
set title "Messages and bytes a node and second"
set logscale y
plot table using (column("nodes")):(column("datagrams_per_node_s")) with linespoints title "datagrams", \
     table using (column("nodes")):(column("bytes_per_node_s")) with linespoints title "bytes"
unset logscale y
set title "Seconds"
plot table using (column("nodes")):(column("detect_s_p50")) with linespoints title "a death found, median", \
     table using (column("nodes")):(column("converged_s_worst")) with linespoints title "equal copies after the last fault, worst"
unset multiplot
